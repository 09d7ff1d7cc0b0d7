/**
 * A randomized soak of gateways and loaders, which run as processes of their own, under
 * faults injected from outside. A judge compares what callers received with what runners
 * ran.
 */
package org.catkingate.soak;
