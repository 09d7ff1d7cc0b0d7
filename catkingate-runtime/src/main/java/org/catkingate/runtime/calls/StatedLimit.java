package org.catkingate.runtime.calls;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The number of requests that the sender of a response takes from all callers together.
 * Immutable.
 *
 * @param requestsPerSecond the requests a second, empty if none is stated
 * @param unreadable a value that was sent and is ignored, since it is no rate; empty if
 * there was none
 * @since 0.1
 */
public record StatedLimit(OptionalDouble requestsPerSecond, Optional<String> unreadable) {

	/** No limit. */
	public static final StatedLimit NONE = new StatedLimit(OptionalDouble.empty(), Optional.empty());

	public StatedLimit {
		Objects.requireNonNull(requestsPerSecond, "requestsPerSecond must not be null");
		Objects.requireNonNull(unreadable, "unreadable must not be null");
	}

}
