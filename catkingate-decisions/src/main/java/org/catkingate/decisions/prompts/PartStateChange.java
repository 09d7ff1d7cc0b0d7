package org.catkingate.decisions.prompts;

import java.util.List;
import java.util.Objects;

/**
 * A change of what is believed of a part, for the log. Immutable.
 *
 * @param part the part
 * @param state the new state
 * @param evidence the ends of runners that it is based on, with their ages
 * @param requests the requests of this gateway that these runners had not completed, at
 * most a few
 * @since 0.1
 */
public record PartStateChange(String part, State state, List<String> evidence, List<String> requests) {

	public PartStateChange {
		Objects.requireNonNull(part, "part must not be null");
		Objects.requireNonNull(state, "state must not be null");
		evidence = List.copyOf(evidence);
		requests = List.copyOf(requests);
	}

	/**
	 * The states of a part.
	 */
	public enum State {

		/** A runner has ended as it began to write on the part. */
		SUSPECTED,

		/** Several runners have, so that requests with the part are not sent. */
		QUARANTINED,

		/** A request is sent as a trial after a quarantine. */
		TRIED,

		/** A runner has continued to write on the part. */
		CLEARED

	}

}
