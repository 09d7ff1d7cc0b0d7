package org.catkingate.tests.faults;

import org.catkingate.tests.harness.Response;

/**
 * One request and its response. Immutable.
 *
 * @param kind the kind of the request
 * @param name the prompt, idempotency key or path of the request; only purchases are
 * repeated under the same name
 * @param tokens the number of tokens requested, 0 unless it is a completion
 * @param response the response
 */
record Attempt(Kind kind, String name, int tokens, Response response) {

	/**
	 * The kind of a request.
	 */
	enum Kind {

		/** A completion by a model. */
		COMPLETION,

		/** A call of a plain service that may run at most once. */
		PURCHASE,

		/** A call of a plain service that may be repeated. */
		LOOKUP

	}

}
