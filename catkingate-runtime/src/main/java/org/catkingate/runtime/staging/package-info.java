/**
 * Weights that are staged piece by piece at a runner and then loaded by it.
 */
package org.catkingate.runtime.staging;
