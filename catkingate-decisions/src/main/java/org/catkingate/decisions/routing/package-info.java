/**
 * Routing of requests to runners by selectors, locality, prefix affinity and load.
 */
package org.catkingate.decisions.routing;
