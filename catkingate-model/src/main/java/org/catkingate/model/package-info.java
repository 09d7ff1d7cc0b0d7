/**
 * The identifiers, labels and selectors that every process shares, and the published
 * configuration.
 */
package org.catkingate.model;
