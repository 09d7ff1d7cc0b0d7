/**
 * Integration tests with real processes.
 */
package org.catkingate.tests;
