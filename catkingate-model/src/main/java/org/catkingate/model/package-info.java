/**
 * Identifiers, labels, selectors and other data types that all processes share.
 */
package org.catkingate.model;
