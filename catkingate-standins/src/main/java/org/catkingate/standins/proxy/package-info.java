/**
 * A TCP proxy that injects faults.
 */
package org.catkingate.standins.proxy;
