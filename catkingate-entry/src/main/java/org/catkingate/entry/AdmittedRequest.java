package org.catkingate.entry;

import java.util.List;

import org.catkingate.model.RequestId;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.wire.RequestMessage;

/**
 * A caller's request after its admission. Immutable; the body must not be modified.
 *
 * @param id the identifier of the request
 * @param account the client account
 * @param rule the rule that applies
 * @param service the service that the rule names
 * @param idempotent whether the request may safely run more than once
 * @param idempotencyKey the caller's key for a non-idempotent request; null for none
 * @param arrivedAtMillis the time at which the head arrived, in milliseconds of the
 * monotonic clock
 * @param deadlineMillis the time at which the complete response is due, in milliseconds
 * of the monotonic clock
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers to forward
 * @param body the body
 */
record AdmittedRequest(RequestId id, ClientAccount account, RoutingRule rule, Service service, boolean idempotent,
		String idempotencyKey, long arrivedAtMillis, long deadlineMillis, String method, String target,
		List<RequestMessage.Header> headers, byte[] body) {

	AdmittedRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether only the agent that issued the idempotency key may run the request.
	 * @return whether the request is not idempotent and has a key
	 */
	boolean isKeyed() {
		return !this.idempotent && this.idempotencyKey != null;
	}

}
