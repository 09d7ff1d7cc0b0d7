/**
 * What an outside registry publishes where backend servers register themselves: routes,
 * services, keys, runners and declared versions of weights. Only data.
 */
package org.catkingate.model.registry;
