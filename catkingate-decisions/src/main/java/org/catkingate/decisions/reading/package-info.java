/**
 * Scheduling of a process's reads of a value of the platform, by long polling or by
 * single reads at intervals, with jittered back-off after failures.
 */
package org.catkingate.decisions.reading;
