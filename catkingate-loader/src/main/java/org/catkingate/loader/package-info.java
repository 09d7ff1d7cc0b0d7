/**
 * The loader: the agent of deployments whose runners register themselves. It loads the
 * declared version of the weights into the runner on its machine.
 */
package org.catkingate.loader;
