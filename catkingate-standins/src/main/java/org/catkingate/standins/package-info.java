/**
 * Stand-ins for the outside systems that catkingate meets, for tests, the demo and
 * benchmarks, and a proxy that injects faults.
 */
package org.catkingate.standins;
