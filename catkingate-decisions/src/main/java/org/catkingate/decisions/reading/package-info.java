/**
 * When a process reads a value of the platform: closely, by waiting watches, or slowly;
 * with jittered back-off after failures.
 */
package org.catkingate.decisions.reading;
