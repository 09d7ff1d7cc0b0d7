/**
 * INI parsing with typed values. All problems of a text are reported together, each with
 * its section, key, value and remedy. Used for settings and for the published
 * configuration.
 */
package org.catkingate.model.ini;
