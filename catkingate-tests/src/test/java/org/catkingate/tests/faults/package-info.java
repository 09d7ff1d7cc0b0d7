/**
 * Faults that tests inject, a random workload, and a checker of the guarantees on its
 * responses.
 */
package org.catkingate.tests.faults;
