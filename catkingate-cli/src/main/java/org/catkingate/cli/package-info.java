/**
 * The command line: one class for each command, the exit codes, and the exception for
 * failures, whose message names the remedy.
 */
package org.catkingate.cli;
