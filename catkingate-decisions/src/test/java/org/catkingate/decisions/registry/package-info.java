/**
 * Tests of the decisions about following a registry.
 */
package org.catkingate.decisions.registry;
