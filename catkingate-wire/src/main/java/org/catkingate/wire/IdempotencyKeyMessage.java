package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.RequestId;
import org.catkingate.model.ServiceName;

/**
 * A message about the idempotency keys of non-idempotent calls, either between the agents
 * of a service or between an entry that requests a key and the agent that issues it.
 *
 * @since 0.1
 */
public sealed interface IdempotencyKeyMessage extends Message {

	/**
	 * A request to another agent for a statement of its current and previous views of a
	 * service.
	 *
	 * @param service the service
	 * @param requestedAtMillis the time at the sender, which the response repeats
	 */
	record StatementRequest(ServiceName service, long requestedAtMillis) implements IdempotencyKeyMessage {

		public StatementRequest {
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * The response to {@link StatementRequest}, the statement. Durations are measured by
	 * the clock of the sender and end when the response is sent.
	 *
	 * @param service the service
	 * @param requestedAtMillis the time at the requester, as given in the request
	 * @param host the IP address on which the sender listens for peers
	 * @param port the port on which the sender listens for peers
	 * @param runners the number of runners of the service at the sender
	 * @param coveredMillis the time that the views cover, in milliseconds
	 * @param views the current and previous views, oldest first
	 */
	record StatementResponse(ServiceName service, long requestedAtMillis, String host, int port, int runners,
			long coveredMillis, List<ServiceView> views) implements IdempotencyKeyMessage {

		/** The maximum number of views in a response. */
		public static final int MAX_VIEWS = 64;

		public StatementResponse {
			Objects.requireNonNull(service, "service must not be null");
			Objects.requireNonNull(host, "host must not be null");
			views = List.copyOf(views);
			if (views.size() > MAX_VIEWS) {
				throw new IllegalArgumentException("views must have at most 64 elements");
			}
		}

	}

	/**
	 * A view of a service: the agents that a process considered part of it for a period,
	 * according to the platform's list of instances.
	 *
	 * @param fingerprint a hash that identifies the view
	 * @param endedMillisAgo the time since the view was replaced, in milliseconds; 0 if
	 * it is current
	 */
	record ServiceView(long fingerprint, long endedMillisAgo) {

	}

	/**
	 * A request to an agent to issue a key.
	 *
	 * @param request the identifier that the response repeats
	 * @param account the client account that may use the key
	 * @param service the service for which the key may be used
	 */
	record IssueKeyRequest(RequestId request, AccountName account,
			ServiceName service) implements IdempotencyKeyMessage {

		public IssueKeyRequest {
			Objects.requireNonNull(request, "request must not be null");
			Objects.requireNonNull(account, "account must not be null");
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * The response to {@link IssueKeyRequest}.
	 *
	 * @param request the identifier of the request
	 * @param key the key
	 * @param validMillis the time for which the key is valid, in milliseconds
	 */
	record IssueKeyResponse(RequestId request, String key, long validMillis) implements IdempotencyKeyMessage {

		public IssueKeyResponse {
			Objects.requireNonNull(request, "request must not be null");
			Objects.requireNonNull(key, "key must not be null");
		}

	}

}
