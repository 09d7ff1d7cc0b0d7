/**
 * The limits that runners state for the requests of all gateways together, and the
 * permits by which gateways keep to them without shared state.
 */
package org.catkingate.decisions.permits;
