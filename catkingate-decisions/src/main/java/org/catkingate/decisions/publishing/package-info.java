/**
 * The decisions on a configuration before it is published.
 */
package org.catkingate.decisions.publishing;
