package org.catkingate.gateway;

import java.util.Optional;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;

import org.catkingate.runtime.calls.RunnerResponseHead;

/**
 * The check whether the head of a runner's response is that of a response to a certain
 * request, so that the response may be forwarded, or taken for a rejection of that
 * request. Immutable.
 *
 * @param requestId the identifier of the request
 * @param acceptEncoding the encodings of the body that the caller has asked for, null if
 * none
 * @param stream whether the response is to be a stream of events
 */
record ResponseCheck(String requestId, String acceptEncoding, boolean stream) {

	private static final int MIN_FINAL_STATUS = 200;

	/**
	 * Returns whether a response is proven to be that to the request. A runner may reject
	 * a request without an identifier; on a connection that has carried other requests,
	 * such a rejection may be a late copy of an earlier one.
	 * @param response the metadata of the response
	 * @param onUnusedConnection whether the request was the first on its connection
	 * @return whether the response belongs to the request
	 */
	boolean isOwn(RunnerResponseHead response, boolean onUnusedConnection) {
		return (response.requestId() != null) ? this.requestId.equals(response.requestId())
				: (response.notRun() && onUnusedConnection);
	}

	/**
	 * Returns why nothing that a response states about the request may be believed.
	 * @param response the metadata of the response
	 * @param head the status and the headers
	 * @param onUnusedConnection whether the request was the first on its connection
	 * @return the flaw, empty if there is none
	 */
	Optional<Flaw> find(RunnerResponseHead response, ClientResponse head, boolean onUnusedConnection) {
		if (!isOwn(response, onUnusedConnection)) {
			return Optional.of(new Flaw("stray", "the runner answered another request"));
		}
		if (response.notRun() && head.getResponseCode() >= MIN_FINAL_STATUS) {
			return Optional.empty();
		}
		if (!response.signed()) {
			return Optional.of(new Flaw("unsigned", "the answer bears no code of a runner"));
		}
		if (head.getResponseCode() < MIN_FINAL_STATUS) {
			return Optional.of(new Flaw("interim", "status " + head.getResponseCode() + " is no final response"));
		}
		if (isUnexpectedlyEncoded(head)) {
			return Optional.of(new Flaw("encoded", "the response has a content encoding that was not asked for"));
		}
		return Optional.empty();
	}

	/*
	 * The events of an encoded stream cannot be told apart, and a caller that asked for
	 * no encoding cannot decode one.
	 */
	private boolean isUnexpectedlyEncoded(ClientResponse head) {
		boolean asked = !this.stream && !isIdentity(this.acceptEncoding);
		return !asked && !isIdentity(head.getResponseHeaders().getFirst(Headers.CONTENT_ENCODING));
	}

	private static boolean isIdentity(String encoding) {
		return encoding == null || encoding.isBlank() || encoding.strip().equalsIgnoreCase(Headers.IDENTITY.toString());
	}

	/**
	 * Why a response must not be forwarded.
	 *
	 * @param outcome the outcome of the attempt, for the log
	 * @param reason the reason
	 */
	record Flaw(String outcome, String reason) {

	}

}
