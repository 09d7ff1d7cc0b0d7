/**
 * Reading the platform: its configuration service and its list of instances.
 */
package org.catkingate.runtime.platform;
