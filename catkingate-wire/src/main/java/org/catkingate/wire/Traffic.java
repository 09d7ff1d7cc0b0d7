package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.RequestId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * Messages of live requests between entry and agent. Every one carries the identity of
 * its request.
 *
 * @since 0.1
 */
public sealed interface Traffic extends Message {

	/**
	 * Returns the request that the message belongs to.
	 * @return its identity, never null
	 */
	RequestId request();

	/**
	 * A header of HTTP.
	 *
	 * @param name the name
	 * @param value the value
	 */
	record Header(String name, String value) {

	}

	/**
	 * Asks an agent to run a request on one of its runners.
	 *
	 * @param request the request
	 * @param heartbeat the newest sequence that the entry has of this agent; one too old
	 * by the agent's own clock is refused
	 * @param deadlineMillis the time left for the whole answer, in milliseconds
	 * @param account the client account
	 * @param service the service
	 * @param runner the runner
	 * @param version the version that must answer; null for a plain service
	 * @param priority the priority, from 0, the lowest, to 9
	 * @param idempotent whether a second run does no harm
	 * @param idempotencyKey the caller's key for a non-idempotent call; null for none
	 * @param method the HTTP method
	 * @param target the path and query
	 * @param headers the headers to pass on
	 * @param body the body
	 */
	record Dispatch(RequestId request, long heartbeat, long deadlineMillis, AccountName account, ServiceName service,
			RunnerId runner, VersionId version, int priority, boolean idempotent, String idempotencyKey, String method,
			String target, List<Header> headers, byte[] body) implements Traffic {

		public Dispatch {
			Objects.requireNonNull(request, "request must not be null");
			headers = List.copyOf(headers);
		}

	}

	/**
	 * The status and headers of an answer.
	 *
	 * @param request the request
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	record AnswerHead(RequestId request, int status, List<Header> headers) implements Traffic {

		public AnswerHead {
			headers = List.copyOf(headers);
		}

	}

	/**
	 * A piece of an answer's body.
	 *
	 * @param request the request
	 * @param offset the position of the first byte in the body
	 * @param bytes the piece
	 */
	record AnswerData(RequestId request, long offset, byte[] bytes) implements Traffic {

	}

	/**
	 * The whole answer has been sent. Without it an answer is not whole.
	 *
	 * @param request the request
	 * @param totalBytes the size of the body
	 */
	record AnswerEnd(RequestId request, long totalBytes) implements Traffic {

	}

	/**
	 * There is no (more) answer.
	 *
	 * @param request the request
	 * @param reason why
	 * @param retryAfterMillis when to come back, in milliseconds, 0 if unknown
	 * @param message what happened, and the remedy
	 */
	record AnswerFailure(RequestId request, FailureReason reason, long retryAfterMillis,
			String message) implements Traffic {

	}

	/**
	 * The caller has left or its deadline has passed: stop and forget the request.
	 *
	 * @param request the request
	 */
	record Cancel(RequestId request) implements Traffic {

	}

	/**
	 * The entry has taken the answer up to an offset; more may be sent.
	 *
	 * @param request the request
	 * @param offset how many bytes of the body have been taken
	 */
	record AnswerProgress(RequestId request, long offset) implements Traffic {

	}

	/**
	 * Continues a request over this connection, since its former one is lost.
	 *
	 * @param request the request
	 * @param headReceived whether the entry has the answer's head
	 * @param offset how many bytes of the body the entry has
	 */
	record Attach(RequestId request, boolean headReceived, long offset) implements Traffic {

	}

	/**
	 * Why there is no answer.
	 */
	enum FailureReason {

		/** Refused before it was run, with certainty. */
		NOT_RUN,

		/** It may have run; nobody can tell. */
		OUTCOME_UNKNOWN,

		/** It ran and failed, or broke off in the middle. */
		FAILED

	}

}
