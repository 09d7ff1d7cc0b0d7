package org.catkingate.gateway;

import java.util.Arrays;
import java.util.Objects;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.RequestFingerprint;
import org.catkingate.model.registry.Route;
import org.catkingate.runtime.calls.CallerHead;

/**
 * A caller's request that has been matched to a route and, unless the route is open, to a
 * client account. Immutable.
 *
 * @param head the values of the request headers that the gateway interprets
 * @param host the Host header, unchanged
 * @param target the path and query, unchanged
 * @param body the complete body
 * @param route the matched route
 * @param service the service chosen among the targets of the route
 * @param account the client account, null if the route is open
 * @param urgency the urgency of the call
 * @param residency the regions in which the call may be served
 * @param arrivedAtMillis the time of arrival, in monotonic milliseconds
 * @param deadlineMillis the deadline for the response, in monotonic milliseconds
 * @param basis the configuration that the admission is based on
 */
record AdmittedRequest(CallerHead head, String host, String target, byte[] body, Route route, ServiceName service,
		AccountName account, Urgency urgency, Residency residency, long arrivedAtMillis, long deadlineMillis,
		DecisionBasis basis) {

	AdmittedRequest {
		Objects.requireNonNull(head, "head must not be null");
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(urgency, "urgency must not be null");
		Objects.requireNonNull(residency, "residency must not be null");
		Objects.requireNonNull(basis, "basis must not be null");
	}

	AdmittedRequest withBody(byte[] completeBody) {
		return new AdmittedRequest(this.head, this.host, this.target, completeBody, this.route, this.service,
				this.account, this.urgency, this.residency, this.arrivedAtMillis, this.deadlineMillis, this.basis);
	}

	/**
	 * Returns what identifies this request if it comes again.
	 * @param method the method
	 * @return the fingerprint, never null
	 */
	String fingerprint(String method) {
		return RequestFingerprint.of(Arrays.asList(method, this.host, this.target, String.valueOf(this.account)),
				this.body);
	}

	/**
	 * The configuration that a decision is based on, and its age.
	 *
	 * @param configurationVersion the version of the configuration
	 * @param ageMillis the time since the registry last confirmed it, in milliseconds
	 */
	record DecisionBasis(long configurationVersion, long ageMillis) {

	}

}
