/**
 * Tests of HTTP calls.
 */
package org.catkingate.runtime.http;
