/**
 * Benchmark of live requests through one entry and some agents.
 */
package org.catkingate.bench.requests;
