/**
 * A stand-in for the platform, which provides the configuration service and the list of
 * instances.
 */
package org.catkingate.standins.platform;
