/**
 * Decisions of one agent about when its runners switch versions and when they receive
 * requests.
 */
package org.catkingate.decisions.runners;
