package org.catkingate.decisions.cost;

import java.util.Objects;

/**
 * What is known of a request before it runs and may tell the length of its response.
 * Immutable.
 *
 * @param route the name of the route, which is the type of the request
 * @param account the name of the client account, empty without one
 * @param hint the caller's estimate of the length of the response, in tokens; 0 without
 * one
 * @param promptTokens the length of the prompt, in tokens
 * @since 0.1
 */
public record RequestFeatures(String route, String account, long hint, long promptTokens) {

	public RequestFeatures {
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(account, "account must not be null");
	}

	/*
	 * The bands for hints and prompts are twice as wide as those of lengths, so that each
	 * collects evidence twice as fast.
	 */
	Object key(Kind kind) {
		return switch (kind) {
			case ACCOUNT -> new CellKey(kind, this.route, this.account, 0);
			case HINT -> new CellKey(kind, this.route, "", band(this.hint));
			case PROMPT -> new CellKey(kind, this.route, "", band(this.promptTokens));
			case ACCOUNT_AND_HINT -> new CellKey(kind, this.route, this.account, band(this.hint));
		};
	}

	private static int band(long tokens) {
		return (tokens > 0) ? LengthBands.of(tokens) / 2 : -1;
	}

	/**
	 * The features by which requests of a route are grouped.
	 */
	enum Kind {

		/** The client account. */
		ACCOUNT,

		/** The caller's estimate. */
		HINT,

		/** The length of the prompt. */
		PROMPT,

		/** The client account together with its estimate. */
		ACCOUNT_AND_HINT

	}

	private record CellKey(Kind kind, String route, String account, int band) {

	}

}
