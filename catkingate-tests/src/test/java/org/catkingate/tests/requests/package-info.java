/**
 * Tests of requests through an entry and agents in one process, over real sockets.
 */
package org.catkingate.tests.requests;
