/**
 * A harness that starts, disturbs and ends the processes of the integration tests.
 */
package org.catkingate.tests.harness;
