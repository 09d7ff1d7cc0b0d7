/**
 * Decides, for one agent, when its runners switch versions and when they take requests.
 */
package org.catkingate.decisions.runners;
