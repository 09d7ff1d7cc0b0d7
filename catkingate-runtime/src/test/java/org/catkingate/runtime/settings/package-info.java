/**
 * Tests of the reading of settings.
 */
package org.catkingate.runtime.settings;
