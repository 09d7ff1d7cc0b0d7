/**
 * What operators watch: health, readiness, metrics and the dump of a process's state, on
 * an address apart from the callers'.
 */
package org.catkingate.runtime.operators;
