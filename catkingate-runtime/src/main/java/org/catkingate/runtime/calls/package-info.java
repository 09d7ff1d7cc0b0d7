/**
 * The metadata that requests and responses carry in HTTP headers of an external protocol,
 * decoded once into types of this project.
 */
package org.catkingate.runtime.calls;
