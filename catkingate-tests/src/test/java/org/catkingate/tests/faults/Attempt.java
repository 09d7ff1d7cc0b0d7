package org.catkingate.tests.faults;

import org.catkingate.tests.harness.Response;

/**
 * One request and what became of it. Immutable.
 *
 * @param kind its kind
 * @param name its prompt, key or path; only purchases are repeated under one name
 * @param tokens how many tokens it asks for
 * @param response the answer
 */
record Attempt(Kind kind, String name, int tokens, Response response) {

	/**
	 * The kinds of requests.
	 */
	enum Kind {

		/** Tokens of a model. */
		COMPLETION,

		/** A call of a plain service that may run once only. */
		PURCHASE,

		/** A call of a plain service that may be repeated. */
		LOOKUP

	}

}
