package org.catkingate.soak;

/**
 * How a runner treats the requests that it gets.
 */
enum RunnerBehaviour {

	/** It runs them and sends whole responses. */
	SOUND,

	/** It runs them and responds with status 500. */
	FAILING,

	/** It ends the connection in the middle of the response, inside an event. */
	BREAKING_OFF,

	/** It resets the connection in the middle of the response. */
	RESETTING,

	/** It sends bytes that are not a response. */
	GARBLED,

	/** It sends bytes after the response. */
	SURPLUS_BYTES,

	/** It sends the response to another request first. */
	REPEATING_OLD_RESPONSE,

	/** It sends a response without a length, which ends with the connection. */
	UNFRAMED,

	/** It sends the start of a response without a length and resets the connection. */
	UNFRAMED_AND_RESET,

	/** It runs them and sends nothing. */
	SILENT,

	/** It rejects them and asks to be left alone for a time. */
	BUSY

}
