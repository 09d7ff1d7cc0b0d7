/**
 * Following an outside registry in which backend servers register themselves.
 */
package org.catkingate.runtime.registry;
