package org.catkingate.agent.requests;

import java.util.List;
import java.util.Objects;

import org.catkingate.wire.Traffic;

/**
 * A whole answer. Immutable; the body must not be changed.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 * @since 0.1
 */
public record KeptAnswer(int status, List<Traffic.Header> headers, byte[] body) {

	public KeptAnswer {
		headers = List.copyOf(headers);
		Objects.requireNonNull(body, "body must not be null");
	}

}
