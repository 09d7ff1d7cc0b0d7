/**
 * Following a registry that is only read: what is asked when, what is believed, and how
 * old that is.
 */
package org.catkingate.decisions.registry;
