/**
 * A stand-in of the platform: the configuration service and the list of instances.
 */
package org.catkingate.standins.platform;
