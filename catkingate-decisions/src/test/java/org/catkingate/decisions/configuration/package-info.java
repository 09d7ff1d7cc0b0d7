/**
 * Tests of the decision about which published configuration is in force.
 */
package org.catkingate.decisions.configuration;
