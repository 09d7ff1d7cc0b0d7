package org.catkingate.decisions.idempotency;

import java.util.Objects;

/**
 * The result of looking up a key in {@link KeyMemory}. Immutable and safe for use by any
 * thread.
 *
 * @param kind the state of the call
 * @param response the complete response; null except for {@link Kind#ENDED}
 * @since 0.1
 */
public record KeyLookupResult(Kind kind, StoredResponse response) {

	public KeyLookupResult {
		Objects.requireNonNull(kind, "kind must not be null");
		if ((kind == Kind.ENDED) != (response != null)) {
			throw new IllegalArgumentException("the result must have a response if and only if its kind is ENDED");
		}
	}

	static KeyLookupResult of(Kind kind) {
		return new KeyLookupResult(kind, null);
	}

	/**
	 * The state of the call of a key.
	 */
	public enum Kind {

		/** The key is unknown, and the memory has room for it. */
		NEW,

		/** The key is unknown, and the memory has no room for it. */
		FULL,

		/** The key was used for a call with another method, target or body. */
		OTHER_CONTENT,

		/** The call has been admitted and has not ended. */
		IN_PROGRESS,

		/** The call ended with a complete response. */
		ENDED,

		/** The call ended with a complete response that was too large to be stored. */
		ENDED_NOT_KEPT,

		/** The call was started and ended without a complete response. */
		OUTCOME_UNKNOWN

	}

}
