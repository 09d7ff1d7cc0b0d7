/**
 * Whether a request that found no answer is sent again.
 */
package org.catkingate.decisions.retries;
