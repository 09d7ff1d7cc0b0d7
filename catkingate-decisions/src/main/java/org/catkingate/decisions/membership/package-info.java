/**
 * Which agents there are and what each is known to serve, from the platform's lagging
 * list, the agents' own announcements and silence on connections.
 */
package org.catkingate.decisions.membership;
