/**
 * Tests for the HTTP clients.
 */
package org.catkingate.runtime.http;
