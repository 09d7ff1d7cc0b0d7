/**
 * The control loop and the clock that both roles run on.
 */
package org.catkingate.runtime;
