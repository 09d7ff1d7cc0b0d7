/**
 * Access to an external registry in which backend servers register themselves, and a
 * follower that keeps a view of it up to date.
 */
package org.catkingate.runtime.registry;
