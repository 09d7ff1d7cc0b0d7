/**
 * A stand-in for a plain service that has non-idempotent calls.
 */
package org.catkingate.standins.plain;
