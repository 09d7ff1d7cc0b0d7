package org.catkingate.runtime.calls;

import java.util.Objects;
import java.util.Optional;

/**
 * The time for which the sender of a response wants no requests. Immutable.
 *
 * @param millis the time in milliseconds, 0 for none; not limited
 * @param unreadable a value that was sent and is ignored, since it is no time; empty if
 * there was none
 * @since 0.1
 */
public record RequestedPause(long millis, Optional<String> unreadable) {

	/** No pause. */
	public static final RequestedPause NONE = new RequestedPause(0, Optional.empty());

	public RequestedPause {
		Objects.requireNonNull(unreadable, "unreadable must not be null");
	}

}
