/**
 * The agent role.
 */
package org.catkingate.agent;
