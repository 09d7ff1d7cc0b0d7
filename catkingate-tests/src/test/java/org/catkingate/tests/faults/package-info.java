/**
 * Faults, a workload, and the judge of its outcome.
 */
package org.catkingate.tests.faults;
