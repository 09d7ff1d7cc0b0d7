/**
 * Tests for the published configuration.
 */
package org.catkingate.model.published;
