/**
 * Command-line benchmarks of catkingate.
 */
package org.catkingate.bench;
