package org.catkingate.entry;

import java.util.List;

import org.catkingate.model.RequestId;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.wire.Traffic;

/**
 * What a caller asks for. Immutable; the body must not be changed.
 *
 * @param id the request's identity
 * @param account the client account
 * @param rule the rule that applies
 * @param service where the rule sends it
 * @param idempotent whether a second run does no harm
 * @param idempotencyKey the caller's key for a non-idempotent call; null for none
 * @param arrivedAtMillis when the head arrived, in milliseconds of the monotonic clock
 * @param deadlineMillis when the whole answer is due, in milliseconds of the monotonic
 * clock
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers to pass on
 * @param body the body
 */
record AdmittedRequest(RequestId id, ClientAccount account, RoutingRule rule, Service service, boolean idempotent,
		String idempotencyKey, long arrivedAtMillis, long deadlineMillis, String method, String target,
		List<Traffic.Header> headers, byte[] body) {

	AdmittedRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Tells whether only the agent of its key may run the call.
	 * @return whether it is not idempotent and has a key
	 */
	boolean isKeyed() {
		return !this.idempotent && this.idempotencyKey != null;
	}

}
