/**
 * Stand-ins for the external systems that catkingate communicates with, used by tests,
 * the demo and the benchmarks, and a proxy that injects faults.
 */
package org.catkingate.standins;
