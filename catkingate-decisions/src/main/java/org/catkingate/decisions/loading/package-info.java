/**
 * Decisions about loading the declared version of the weights to one runner: fetching
 * pieces, checking them and choosing the time of the load.
 */
package org.catkingate.decisions.loading;
