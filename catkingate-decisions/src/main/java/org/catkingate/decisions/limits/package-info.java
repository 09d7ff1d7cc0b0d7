/**
 * Rate and concurrency limits of client accounts, and the estimated wait in a runner's
 * queue.
 */
package org.catkingate.decisions.limits;
