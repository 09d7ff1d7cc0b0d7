/**
 * The settings of a process: their records, their INI form, defaults and checks.
 */
package org.catkingate.runtime.settings;
