package org.catkingate.model;

/**
 * The role of a process.
 *
 * @since 0.1
 */
public enum Role {

	/** Accepts requests from callers and routes them to agents. */
	ENTRY,

	/** Forwards requests to the backend servers of its instance. */
	AGENT

}
