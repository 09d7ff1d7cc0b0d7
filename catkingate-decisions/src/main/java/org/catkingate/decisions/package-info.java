/**
 * Decision logic of both roles.
 */
package org.catkingate.decisions;
