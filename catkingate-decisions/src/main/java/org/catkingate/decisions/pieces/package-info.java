/**
 * Decisions about reading pieces of weights from their origin: the order of the versions,
 * the number of concurrent reads, and when to try again while the origin is unavailable.
 */
package org.catkingate.decisions.pieces;
