package org.catkingate.soak;

/**
 * The kinds of requests.
 */
enum RequestKind {

	/** A lookup, which may run again. */
	READ("idempotent", "/catalogue/", "shop"),

	/** A purchase, which may run once. */
	PURCHASE("non_idempotent", "/purchases/", "shop"),

	/** A stream that may run once. */
	SONG("stream", "/songs/", "singers"),

	/** A stream that another runner may resume. */
	LYRICS("stream", "/lyrics/", "singers"),

	/** A stream of a model runner, whose weights a loader loads. */
	GENERATION("stream", "/generations/", "engines"),

	/**
	 * A lookup on a route that exists in one version of the configuration only. Its path
	 * continues with that version.
	 */
	PROBE("idempotent", "/probe/", "shop");

	private final String type;

	private final String pathPrefix;

	private final String service;

	RequestKind(String type, String pathPrefix, String service) {
		this.type = type;
		this.pathPrefix = pathPrefix;
		this.service = service;
	}

	String type() {
		return this.type;
	}

	String pathPrefix() {
		return this.pathPrefix;
	}

	String service() {
		return this.service;
	}

	boolean isStream() {
		return this.type.equals("stream");
	}

	boolean isResumable() {
		return this == LYRICS || this == GENERATION;
	}

	boolean mayRunAgain() {
		return this == READ || this == PROBE || isResumable();
	}

}
