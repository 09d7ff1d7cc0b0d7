/**
 * A harness that starts the processes of the integration tests, injects faults and ends
 * the processes.
 */
package org.catkingate.tests.harness;
