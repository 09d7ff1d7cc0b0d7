/**
 * The settings of a process, and their parsing from INI files with defaults and
 * validation.
 */
package org.catkingate.runtime.settings;
