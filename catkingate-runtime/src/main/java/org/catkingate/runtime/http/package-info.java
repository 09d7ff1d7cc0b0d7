/**
 * HTTP clients for calls to external systems, based on Undertow, and helpers for
 * responses to callers.
 */
package org.catkingate.runtime.http;
