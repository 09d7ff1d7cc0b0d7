/**
 * Combines membership and configuration into the control state that every process has,
 * whatever its role.
 */
package org.catkingate.decisions.fleet;
