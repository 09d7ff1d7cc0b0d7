/**
 * Which runner a request goes to: selectors, locality, prefix affinity and load.
 */
package org.catkingate.decisions.routing;
