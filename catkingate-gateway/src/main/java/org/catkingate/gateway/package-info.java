/**
 * The entry of deployments whose runners register themselves: it takes callers' requests
 * and calls the runners directly.
 */
package org.catkingate.gateway;
