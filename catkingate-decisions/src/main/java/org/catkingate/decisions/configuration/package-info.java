/**
 * Which published configuration is in force: only a higher one ever replaces it, whole,
 * whoever offers it.
 */
package org.catkingate.decisions.configuration;
