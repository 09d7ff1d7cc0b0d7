/**
 * Tests of the limits of client accounts.
 */
package org.catkingate.decisions.limits;
