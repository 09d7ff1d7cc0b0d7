/**
 * The command line.
 */
package org.catkingate.cli;
