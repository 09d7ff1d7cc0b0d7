/**
 * The control loop and the clocks that the processes of all roles use.
 */
package org.catkingate.runtime;
