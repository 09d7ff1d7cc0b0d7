/**
 * Tests of the decisions about loading weights.
 */
package org.catkingate.decisions.loading;
