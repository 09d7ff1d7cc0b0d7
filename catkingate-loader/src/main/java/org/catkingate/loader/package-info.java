/**
 * The agent of deployments whose runners register themselves: it brings the declared
 * version of the weights to the runner on its machine.
 */
package org.catkingate.loader;
