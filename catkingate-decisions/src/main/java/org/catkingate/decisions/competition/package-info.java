/**
 * Competition of calls for insufficient capacity: limits by urgency, shares of client
 * accounts, and the order of waiting calls.
 */
package org.catkingate.decisions.competition;
