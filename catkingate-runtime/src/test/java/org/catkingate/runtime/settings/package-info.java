/**
 * Tests for the parsing of settings files.
 */
package org.catkingate.runtime.settings;
