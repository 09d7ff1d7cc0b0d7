/**
 * Non-idempotent calls at an agent: their admission, the responses stored for repeats,
 * and the exchange of key homes with the other agents of a service.
 */
package org.catkingate.agent.idempotency;
