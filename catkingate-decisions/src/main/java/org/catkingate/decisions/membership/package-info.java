/**
 * Decisions about which agents exist and what each of them serves, based on the instance
 * list of the platform, which lags behind, on the announcements of the agents, and on the
 * silence of connections.
 */
package org.catkingate.decisions.membership;
