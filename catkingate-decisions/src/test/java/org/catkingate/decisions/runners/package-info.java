/**
 * Tests of the decisions about runners.
 */
package org.catkingate.decisions.runners;
