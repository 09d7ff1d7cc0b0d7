/**
 * The entry role.
 */
package org.catkingate.entry;
