/**
 * A benchmark of requests through one entry and several agents.
 */
package org.catkingate.bench.requests;
