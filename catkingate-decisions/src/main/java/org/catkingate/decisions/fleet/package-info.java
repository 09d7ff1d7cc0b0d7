/**
 * Membership and configuration together: the state that every process has, of whichever
 * role.
 */
package org.catkingate.decisions.fleet;
