package org.catkingate.decisions.prompts;

import java.util.Objects;

import org.catkingate.model.prompts.RequestFingerprint;

/**
 * A decision on a prompt. Immutable.
 *
 * @param kind the kind of decision
 * @param part the part that it is based on, null if no part is suspected
 * @param remainingMillis the remaining time of a quarantine, in milliseconds; negative
 * since a trial is due; 0 without a quarantine
 * @since 0.1
 */
public record PromptVerdict(Kind kind, String part, long remainingMillis) {

	/**
	 * The time after which the next gateway may make a trial that another one has had no
	 * occasion to make. It is longer than a trial takes.
	 */
	private static final long TRIAL_STAGGER_MILLIS = 2000;

	static final PromptVerdict HARMLESS = new PromptVerdict(Kind.HARMLESS, null, 0);

	public PromptVerdict {
		Objects.requireNonNull(kind, "kind must not be null");
	}

	/**
	 * Returns whether a gateway may make a trial now. Gateways take turns, so that one
	 * request at a time is sent in the whole fleet. Only the first one tries a whole
	 * request.
	 * @param rank the position of the gateway in an order of all gateways that is the
	 * same at all of them, from 0
	 * @return whether a trial is due and it is the gateway's turn
	 */
	public boolean isTrialOf(int rank) {
		return this.kind == Kind.TRIAL_DUE && (RequestFingerprint.isFingerprint(this.part) ? (rank == 0)
				: -this.remainingMillis >= rank * TRIAL_STAGGER_MILLIS);
	}

	/**
	 * The kinds of decision, from the mildest to the most severe.
	 */
	public enum Kind {

		/** The request may be sent and retried. */
		HARMLESS,

		/** The request may be sent once; it is not retried after its runner has ended. */
		SUSPECTED,

		/** The quarantine has expired; one request may be sent as a trial. */
		TRIAL_DUE,

		/** The request must not be sent. */
		QUARANTINED

	}

}
