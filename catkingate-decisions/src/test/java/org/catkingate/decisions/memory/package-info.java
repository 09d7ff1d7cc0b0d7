/**
 * Tests of the decisions on memory.
 */
package org.catkingate.decisions.memory;
