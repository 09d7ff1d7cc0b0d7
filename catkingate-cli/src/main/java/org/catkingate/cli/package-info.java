/**
 * The command line: one class a command, exit codes, and errors that end the program with
 * lines naming the remedy.
 */
package org.catkingate.cli;
