/**
 * A server that answers with bytes written down in a test, whatever HTTP says of them.
 */
package org.catkingate.standins.raw;
