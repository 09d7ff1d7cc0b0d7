/**
 * Tests of the command line.
 */
package org.catkingate.cli;
