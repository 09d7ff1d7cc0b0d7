/**
 * What the main threads of both roles share: identity, start and graceful end.
 */
package org.catkingate.runtime.process;
