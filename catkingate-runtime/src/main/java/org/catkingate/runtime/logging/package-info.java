/**
 * The configuration of logging as JSON lines on standard output.
 */
package org.catkingate.runtime.logging;
