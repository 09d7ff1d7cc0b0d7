/**
 * Stand-ins for outside systems.
 */
package org.catkingate.standins;
