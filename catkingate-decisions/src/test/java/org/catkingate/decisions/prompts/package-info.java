/**
 * Tests of the decisions on parts of prompts.
 */
package org.catkingate.decisions.prompts;
