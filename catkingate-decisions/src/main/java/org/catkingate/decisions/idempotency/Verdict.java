package org.catkingate.decisions.idempotency;

import java.util.Objects;

/**
 * The decision of an agent on whether it vouches that no other agent has run, or may yet
 * run, the call of a key. Immutable and safe for use by any thread.
 *
 * @param reason the reason
 * @param retryAfterMillis after how long the caller may repeat the call with the same
 * key, in milliseconds; 0 if the key is vouched for or the call must not be repeated
 * @since 0.1
 */
public record Verdict(Reason reason, long retryAfterMillis) {

	public Verdict {
		Objects.requireNonNull(reason, "reason must not be null");
	}

	/**
	 * Returns whether the call may run.
	 * @return whether the agent vouches for the key
	 */
	public boolean isVouched() {
		return this.reason == Reason.VOUCHED;
	}

	/**
	 * The reason why an agent vouches for a key or does not.
	 */
	public enum Reason {

		/** The agent vouches for the key. */
		VOUCHED("the key is vouched for"),

		/** The service is not configured on this agent. */
		NOT_SERVED("this agent does not know the service; repeat with the same key"),

		/** Another agent is the home of the key. */
		NOT_HOME("another agent answers for this key; repeat with the same key"),

		/** The agent has not observed the service for long enough. */
		TOO_YOUNG("the agent of this key has started too lately; repeat later with the same key,"
				+ " or take a key from /catkingate/idempotency-keys"),

		/** Another agent was the home of the key recently. */
		MOVED_LATELY("the key has moved to another agent lately; repeat later with the same key,"
				+ " or take a key from /catkingate/idempotency-keys"),

		/** The platform has not confirmed the instance list recently. */
		LIST_NOT_CONFIRMED("the list of instances cannot be read at present; repeat later with the same key,"
				+ " or take a key from /catkingate/idempotency-keys"),

		/** Too few of the other agents agree on the home of the key. */
		NOT_AGREED("too few agents of the service agree on the agent of this key; repeat later with the same key,"
				+ " or take a key from /catkingate/idempotency-keys"),

		/** There are more runners than {@code expected-runners} allows. */
		TOO_MANY_RUNNERS("the service has more runners than its expected-runners; raise expected-runners,"
				+ " or take a key from /catkingate/idempotency-keys"),

		/** The timestamp of the key is older than the repeat window. */
		KEY_EXPIRED("the key was made longer ago than the service's repeat window; find out what became of the call"
				+ " before making it again"),

		/** The timestamp of the key is in the future. */
		KEY_FROM_FUTURE("the key carries a time in the future; set the clock of the caller");

		private final String message;

		Reason(String message) {
			this.message = message;
		}

		/**
		 * Returns the message for the caller.
		 * @return the message, which states the cause and, if there is one, the remedy
		 */
		public String message() {
			return this.message;
		}

	}

}
