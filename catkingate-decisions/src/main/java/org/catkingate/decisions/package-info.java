/**
 * Decision logic shared by all roles: pure reducers that map a state and an event to the
 * next state and its effects.
 */
package org.catkingate.decisions;
