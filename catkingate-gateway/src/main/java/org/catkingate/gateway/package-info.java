/**
 * The gateway: the entry of deployments whose runners register themselves. It accepts
 * callers' requests and forwards them directly to runners.
 */
package org.catkingate.gateway;
