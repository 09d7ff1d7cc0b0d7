/**
 * Bringing the declared version of the weights to one runner: fetching, checking and the
 * moment of loading.
 */
package org.catkingate.decisions.loading;
