package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.RequestId;
import org.catkingate.model.ServiceName;

/**
 * Messages about the keys of non-idempotent calls: between the agents of a service, and
 * from an entry that wants a key issued.
 *
 * @since 0.1
 */
public sealed interface Keys extends Message {

	/**
	 * Asks another agent which views of a service it has held.
	 *
	 * @param service the service
	 * @param askedAtMillis the sender's time, which comes back with the answer
	 */
	record ViewQuestion(ServiceName service, long askedAtMillis) implements Keys {

		public ViewQuestion {
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * Answers {@link ViewQuestion}. Spans are by the sender's clock, up to the moment of
	 * sending.
	 *
	 * @param service the service
	 * @param askedAtMillis the asker's time
	 * @param host the IP number at which the sender listens for peers
	 * @param port the port of that address
	 * @param runners how many runners of the service the sender has
	 * @param coveredMillis how far back its views reach, in milliseconds
	 * @param views the views, oldest first
	 */
	record ViewStatement(ServiceName service, long askedAtMillis, String host, int port, int runners,
			long coveredMillis, List<HeldView> views) implements Keys {

		/** The most views that one statement may carry. */
		public static final int MAX_VIEWS = 64;

		public ViewStatement {
			Objects.requireNonNull(service, "service must not be null");
			Objects.requireNonNull(host, "host must not be null");
			views = List.copyOf(views);
			if (views.size() > MAX_VIEWS) {
				throw new IllegalArgumentException("statement must have at most 64 views");
			}
		}

	}

	/**
	 * A view of a service's agents.
	 *
	 * @param fingerprint the number that stands for it
	 * @param endedMillisAgo how long ago it ended, in milliseconds, 0 if it is in force
	 */
	record HeldView(long fingerprint, long endedMillisAgo) {

	}

	/**
	 * Asks an agent to issue a key.
	 *
	 * @param request the request that the answer belongs to
	 * @param account the client account that may use the key
	 * @param service the service that it may be used for
	 */
	record IssueKey(RequestId request, AccountName account, ServiceName service) implements Keys {

		public IssueKey {
			Objects.requireNonNull(request, "request must not be null");
			Objects.requireNonNull(account, "account must not be null");
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * Answers {@link IssueKey}.
	 *
	 * @param request the request
	 * @param key the key
	 * @param validMillis for how long it may be used, in milliseconds
	 */
	record IssuedKey(RequestId request, String key, long validMillis) implements Keys {

		public IssuedKey {
			Objects.requireNonNull(request, "request must not be null");
			Objects.requireNonNull(key, "key must not be null");
		}

	}

}
