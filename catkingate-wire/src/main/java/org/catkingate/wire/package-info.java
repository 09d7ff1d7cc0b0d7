/**
 * Messages between the processes.
 */
package org.catkingate.wire;
