/**
 * Decision logic for following a read-only registry: when it is read or watched, the
 * resulting view of it, and the age of that view.
 */
package org.catkingate.decisions.registry;
