/**
 * The data types of an external registry with which backend servers register themselves:
 * routes, services, keys, runners and declared versions of weights.
 */
package org.catkingate.model.registry;
