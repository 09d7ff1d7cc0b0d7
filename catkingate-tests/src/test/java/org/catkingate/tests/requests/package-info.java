/**
 * Live requests through entry and agent in one process, over real sockets.
 */
package org.catkingate.tests.requests;
