/**
 * Tests of which configuration is in force.
 */
package org.catkingate.decisions.configuration;
