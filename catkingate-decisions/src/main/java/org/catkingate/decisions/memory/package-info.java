/**
 * The memory that requests occupy at runners, and the memory that a gateway holds for
 * callers that read slowly.
 */
package org.catkingate.decisions.memory;
