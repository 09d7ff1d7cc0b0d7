package org.catkingate.decisions.idempotency;

import java.util.Objects;

/**
 * What is remembered of a key. Immutable and safe for use by any thread.
 *
 * @param kind what became of its call
 * @param answer the whole answer; null but for {@link Kind#ENDED}
 * @since 0.1
 */
public record Remembered(Kind kind, KeptAnswer answer) {

	public Remembered {
		Objects.requireNonNull(kind, "kind must not be null");
		if ((kind == Kind.ENDED) != (answer != null)) {
			throw new IllegalArgumentException("only an ended call has an answer");
		}
	}

	static Remembered of(Kind kind) {
		return new Remembered(kind, null);
	}

	/**
	 * What became of the call of a key.
	 */
	public enum Kind {

		/** The key is not known, and there is room for it. */
		NEW,

		/** The key is not known, and there is no room for it. */
		FULL,

		/** The key belongs to a call with another method, target or body. */
		OTHER_CONTENT,

		/** The call has been admitted and has not ended. */
		IN_PROGRESS,

		/** The call has a whole answer. */
		ENDED,

		/** The call had a whole answer, which was too large to be kept. */
		ENDED_NOT_KEPT,

		/** The call was started and broke off. */
		OUTCOME_UNKNOWN

	}

}
