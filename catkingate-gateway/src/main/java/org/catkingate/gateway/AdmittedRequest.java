package org.catkingate.gateway;

import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.Route;
import org.catkingate.runtime.calls.CallerHead;

/**
 * A request that a route and a key allow. Immutable.
 *
 * @param head what the caller says of it
 * @param host the host as the caller wrote it
 * @param target the path and query as the caller wrote them
 * @param body the whole body
 * @param route its route
 * @param service the service that was drawn
 * @param account the client account, null where the route is open
 * @param arrivedAtMillis when it arrived, in monotonic milliseconds
 * @param deadlineMillis when its time is over, in monotonic milliseconds
 * @param basis what the decision rested on
 */
record AdmittedRequest(CallerHead head, String host, String target, byte[] body, Route route, ServiceName service,
		AccountName account, long arrivedAtMillis, long deadlineMillis, DecisionBasis basis) {

	AdmittedRequest {
		Objects.requireNonNull(head, "head must not be null");
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(basis, "belief must not be null");
	}

	AdmittedRequest withBody(byte[] wholeBody) {
		return new AdmittedRequest(this.head, this.host, this.target, wholeBody, this.route, this.service, this.account,
				this.arrivedAtMillis, this.deadlineMillis, this.basis);
	}

	/**
	 * The version of what was believed, and its age.
	 *
	 * @param configurationVersion the version of the configuration
	 * @param ageMillis for how long it has not been confirmed, in milliseconds
	 */
	record DecisionBasis(long configurationVersion, long ageMillis) {

	}

}
