package org.catkingate.model;

/**
 * The role that a process of the system plays.
 *
 * @since 0.1
 */
public enum Role {

	/** Takes callers' requests and routes them. */
	ENTRY,

	/** Stands beside the backend servers of one instance. */
	AGENT

}
