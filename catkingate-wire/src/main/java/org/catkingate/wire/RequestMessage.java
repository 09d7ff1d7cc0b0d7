package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.RequestId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * A message about a request in progress, between an entry and an agent. Each message
 * carries the identifier of its request.
 *
 * @since 0.1
 */
public sealed interface RequestMessage extends Message {

	/**
	 * Returns the identifier of the request to which the message belongs.
	 * @return the identifier, never null
	 */
	RequestId request();

	/**
	 * An HTTP header.
	 *
	 * @param name the name
	 * @param value the value
	 */
	record Header(String name, String value) {

	}

	/**
	 * A command to an agent to run a request on one of its runners.
	 *
	 * @param request the request
	 * @param heartbeat the newest heartbeat sequence number that the entry has received
	 * from this agent; the agent rejects one that is too old by its own clock
	 * @param remainingMillis the time left until the response must be complete, in
	 * milliseconds
	 * @param account the client account
	 * @param service the service
	 * @param runner the runner
	 * @param version the version that must respond; null for a plain service
	 * @param priority the priority, from 0 (lowest) to 9 (highest)
	 * @param idempotent whether the call may run more than once
	 * @param idempotencyKey the caller's key for a non-idempotent call; null for none
	 * @param method the HTTP method
	 * @param target the path and the query
	 * @param headers the headers to forward
	 * @param body the body
	 */
	record Dispatch(RequestId request, long heartbeat, long remainingMillis, AccountName account, ServiceName service,
			RunnerId runner, VersionId version, int priority, boolean idempotent, String idempotencyKey, String method,
			String target, List<Header> headers, byte[] body) implements RequestMessage {

		public Dispatch {
			Objects.requireNonNull(request, "request must not be null");
			headers = List.copyOf(headers);
		}

	}

	/**
	 * The status and headers of a response.
	 *
	 * @param request the request
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	record ResponseHead(RequestId request, int status, List<Header> headers) implements RequestMessage {

		public ResponseHead {
			headers = List.copyOf(headers);
		}

	}

	/**
	 * A part of the body of a response.
	 *
	 * @param request the request
	 * @param offset the offset of the first byte in the body
	 * @param bytes the bytes
	 */
	record ResponseData(RequestId request, long offset, byte[] bytes) implements RequestMessage {

	}

	/**
	 * The end of a response. A response without it is incomplete.
	 *
	 * @param request the request
	 * @param totalBytes the size of the body
	 */
	record ResponseEnd(RequestId request, long totalBytes) implements RequestMessage {

	}

	/**
	 * The failure of a request: no response follows, or no more of it.
	 *
	 * @param request the request
	 * @param reason the reason
	 * @param retryAfterMillis the time after which to retry, in milliseconds; 0 if
	 * unknown
	 * @param message the description of the failure and the remedy
	 */
	record ResponseFailure(RequestId request, FailureReason reason, long retryAfterMillis,
			String message) implements RequestMessage {

	}

	/**
	 * A command to stop and discard a request, since the caller has disconnected or the
	 * deadline has passed.
	 *
	 * @param request the request
	 */
	record Cancel(RequestId request) implements RequestMessage {

	}

	/**
	 * An acknowledgement that the entry has consumed the response up to an offset, so
	 * that the agent may send more.
	 *
	 * @param request the request
	 * @param offset the number of bytes of the body that have been consumed
	 */
	record ResponseProgress(RequestId request, long offset) implements RequestMessage {

	}

	/**
	 * A command to continue a request over this connection, since its previous connection
	 * was lost.
	 *
	 * @param request the request
	 * @param headReceived whether the entry has received the status and headers
	 * @param offset the number of bytes of the body that the entry has received
	 */
	record Attach(RequestId request, boolean headReceived, long offset) implements RequestMessage {

	}

	/**
	 * The reason why there is no response, or no complete one.
	 */
	enum FailureReason {

		/** The request was rejected and has certainly not run. */
		NOT_RUN,

		/** The request may have run; its outcome cannot be determined. */
		OUTCOME_UNKNOWN,

		/** The request ran and failed, or its response was interrupted. */
		FAILED

	}

}
