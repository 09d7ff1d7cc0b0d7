/**
 * Tests of the published configuration.
 */
package org.catkingate.model.published;
