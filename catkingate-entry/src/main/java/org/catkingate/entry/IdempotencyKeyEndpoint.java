package org.catkingate.entry;

import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;

import org.catkingate.decisions.limits.LimitDecision;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RequestId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.wire.IdempotencyKeyMessage;

/**
 * The HTTP endpoint at which callers request idempotency keys. An agent of the requested
 * service issues the key. Safe for use by any thread.
 */
final class IdempotencyKeyEndpoint {

	/** The path of the endpoint. */
	static final String PATH = "/catkingate/idempotency-keys";

	private static final long AGENT_TIMEOUT_MILLIS = 2_000;

	private static final int CREATED = 201;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Map<RequestId, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

	private final RequestDispatcher dispatcher;

	IdempotencyKeyEndpoint(RequestDispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	/**
	 * Requests a key from an agent. The response is written when the agent responds or
	 * the time-out expires.
	 * @param exchange the caller's exchange
	 * @param id the identifier of the request
	 * @param account the client account
	 * @throws RequestRejectedException if the request is rejected before an agent
	 * receives it
	 */
	void handle(HttpServerExchange exchange, RequestId id, ClientAccount account) throws RequestRejectedException {
		ServiceName service = requestedService(exchange);
		InstanceId agent = chooseAgent(service, id).orElseThrow(() -> noAgentAvailable());
		LimitDecision decision = this.dispatcher.tryStart(account);
		if (!decision.isAllowed()) {
			throw new RequestRejectedException(Failure.of(decision));
		}
		PendingRequest pending = new PendingRequest(exchange, account);
		this.pendingRequests.put(id, pending);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> requestKey(id, agent, account, service));
	}

	private ServiceName requestedService(HttpServerExchange exchange) throws RequestRejectedException {
		Deque<String> values = exchange.getQueryParameters().get("service");
		Optional<ServiceName> service = this.dispatcher.fleet()
			.configuration()
			.services()
			.keySet()
			.stream()
			.filter((name) -> values != null && name.value().equals(values.peekFirst()))
			.findFirst();
		if (!exchange.getRequestMethod().equals(Methods.POST) || service.isEmpty()) {
			throw new RequestRejectedException(
					Failure.of(FailureKind.BAD_REQUEST, "use POST " + PATH + "?service=SERVICE with a known service"));
		}
		return service.get();
	}

	private Optional<InstanceId> chooseAgent(ServiceName service, RequestId id) {
		List<InstanceId> candidates = this.dispatcher.fleet()
			.agents()
			.values()
			.stream()
			.filter((agent) -> agent.canAcceptRequests() && serves(agent, service))
			.map((agent) -> agent.instance().id())
			.sorted()
			.toList();
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(Math.floorMod(id.low(), candidates.size())));
	}

	private static boolean serves(AgentView agent, ServiceName service) {
		return agent.runners().stream().anyMatch((runner) -> runner.admitting() && runner.service().equals(service));
	}

	private static RequestRejectedException noAgentAvailable() {
		return new RequestRejectedException(Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"no agent can issue a key at present; come back later"));
	}

	private void requestKey(RequestId id, InstanceId agent, ClientAccount account, ServiceName service) {
		PendingRequest pending = Objects.requireNonNull(this.pendingRequests.get(id));
		pending.exchange().addExchangeCompleteListener((completed, next) -> {
			this.pendingRequests.remove(id);
			this.dispatcher.releaseLimits(account);
			next.proceed();
		});
		boolean sent = this.dispatcher.connectionTo(agent)
			.map((connection) -> connection.frameConnection()
				.send(new IdempotencyKeyMessage.IssueKeyRequest(id, account.name(), service)))
			.orElse(false);
		long timeout = sent ? AGENT_TIMEOUT_MILLIS : 0;
		pending.exchange().getIoThread().executeAfter(() -> expire(id), timeout, TimeUnit.MILLISECONDS);
	}

	private void expire(RequestId id) {
		PendingRequest pending = this.pendingRequests.remove(id);
		if (pending != null) {
			FailureWriter.write(pending.exchange(), noAgentAvailable().failure());
		}
	}

	/**
	 * Responds to the pending request with a key that an agent has issued.
	 * @param issued the message with the key
	 */
	void complete(IdempotencyKeyMessage.IssueKeyResponse issued) {
		PendingRequest pending = this.pendingRequests.remove(issued.request());
		if (pending != null) {
			pending.exchange().getIoThread().execute(() -> writeKey(pending.exchange(), issued));
		}
	}

	private static void writeKey(HttpServerExchange exchange, IdempotencyKeyMessage.IssueKeyResponse issued) {
		exchange.setStatusCode(CREATED);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(body(issued));
	}

	private static String body(IdempotencyKeyMessage.IssueKeyResponse issued) {
		try {
			return MAPPER.writeValueAsString(new Body(issued.key(), issued.validMillis() / MILLIS_PER_SECOND));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the issued key could not be written as JSON", ex);
		}
	}

	/**
	 * A request for a key that an agent has not responded to yet.
	 *
	 * @param exchange the caller's exchange
	 * @param account the client account
	 */
	private record PendingRequest(HttpServerExchange exchange, ClientAccount account) {

	}

	/**
	 * The body of a response.
	 *
	 * @param key the key
	 * @param validSeconds the time for which the key is valid, in seconds
	 */
	private record Body(String key, @JsonProperty("valid-for-s") long validSeconds) {

	}

}
