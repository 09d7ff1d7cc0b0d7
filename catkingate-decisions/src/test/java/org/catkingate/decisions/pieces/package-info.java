/**
 * Tests for reading pieces of weights from their origin.
 */
package org.catkingate.decisions.pieces;
