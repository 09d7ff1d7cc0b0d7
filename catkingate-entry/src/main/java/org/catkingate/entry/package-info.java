/**
 * The entry role: accepts callers' requests, routes them to agents and relays the
 * responses.
 */
package org.catkingate.entry;
