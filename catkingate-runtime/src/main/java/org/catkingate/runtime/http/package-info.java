/**
 * HTTP calls of bounded size and time to outside systems, over Undertow's client.
 */
package org.catkingate.runtime.http;
