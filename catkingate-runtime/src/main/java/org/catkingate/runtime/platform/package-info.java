/**
 * A client of the platform's configuration service and its list of instances.
 */
package org.catkingate.runtime.platform;
