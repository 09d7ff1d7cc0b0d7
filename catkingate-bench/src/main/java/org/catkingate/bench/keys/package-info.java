/**
 * A benchmark of the share of calls that are rejected because no agent can vouch for
 * their idempotency keys.
 */
package org.catkingate.bench.keys;
