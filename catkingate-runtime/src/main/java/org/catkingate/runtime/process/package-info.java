/**
 * Support for the main thread of a process of any role: its identity, its signals and its
 * graceful shutdown.
 */
package org.catkingate.runtime.process;
