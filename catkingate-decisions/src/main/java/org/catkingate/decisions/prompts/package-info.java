/**
 * Decisions on parts of prompts that crash runners: which are suspected, and which are
 * quarantined.
 */
package org.catkingate.decisions.prompts;
