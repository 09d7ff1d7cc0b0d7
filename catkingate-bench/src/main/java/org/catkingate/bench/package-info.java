/**
 * Benchmarks.
 */
package org.catkingate.bench;
