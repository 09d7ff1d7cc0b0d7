/**
 * Faults, a workload, and the check of its responses.
 */
package org.catkingate.tests.faults;
