/**
 * Decisions on retries: which failed attempts are retried, and how many retries are
 * allowed.
 */
package org.catkingate.decisions.retries;
