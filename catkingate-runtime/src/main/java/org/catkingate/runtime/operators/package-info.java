/**
 * The HTTP endpoint for operators: health, readiness, metrics and a dump of the process's
 * state, on an address separate from that for callers.
 */
package org.catkingate.runtime.operators;
