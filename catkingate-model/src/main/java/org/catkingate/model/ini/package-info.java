/**
 * Reading of INI texts with typed values, where every fault is named at once with its
 * section, key, value and remedy. Used for settings and for the published configuration.
 */
package org.catkingate.model.ini;
