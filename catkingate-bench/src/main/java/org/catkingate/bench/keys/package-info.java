/**
 * How many calls are refused since nobody can vouch for their keys.
 */
package org.catkingate.bench.keys;
