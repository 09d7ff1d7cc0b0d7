/**
 * Tests of following a registry.
 */
package org.catkingate.decisions.registry;
