/**
 * Clients for obtaining weights piece by piece, staging them at a runner and having the
 * runner load them.
 */
package org.catkingate.runtime.staging;
