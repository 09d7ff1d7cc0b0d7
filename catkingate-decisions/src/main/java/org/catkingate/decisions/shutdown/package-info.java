/**
 * Decisions on requests while a process shuts down. Fed with times, without input or
 * output.
 */
package org.catkingate.decisions.shutdown;
