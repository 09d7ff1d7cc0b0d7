package org.catkingate.gateway;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.calls.RunnerHead;
import org.catkingate.runtime.http.StreamedCall;

/**
 * A factory for the heads of requests to runners, from the heads of callers' requests.
 * Headers are copied unless they apply to a single connection or are set by the gateway.
 * Stateless.
 */
final class RunnerRequestFactory {

	private RunnerRequestFactory() {
	}

	static ClientRequest create(HttpServerExchange exchange, AdmittedRequest admitted, HeaderCodec codec,
			RunnerHead head) {
		ClientRequest request = new ClientRequest().setMethod(exchange.getRequestMethod()).setPath(admitted.target());
		for (HeaderValues values : exchange.getRequestHeaders()) {
			if (!StreamedCall.REQUEST_HEADERS_NOT_FORWARDED.contains(values.getHeaderName())
					&& !codec.reservedHeaders().contains(values.getHeaderName())) {
				request.getRequestHeaders().putAll(values.getHeaderName(), values);
			}
		}
		request.getRequestHeaders().put(Headers.HOST, admitted.host());
		codec.writeRunnerHead(request.getRequestHeaders(), head);
		return request;
	}

}
