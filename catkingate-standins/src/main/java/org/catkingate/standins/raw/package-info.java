/**
 * A server that responds with bytes that a test specifies, whether or not they are valid
 * HTTP.
 */
package org.catkingate.standins.raw;
