/**
 * Tests of the decision which published configuration is in force.
 */
package org.catkingate.decisions.configuration;
