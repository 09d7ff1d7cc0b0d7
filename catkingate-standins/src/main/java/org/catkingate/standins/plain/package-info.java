/**
 * A stand-in of a plain service, with calls that may not be repeated.
 */
package org.catkingate.standins.plain;
