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
import org.catkingate.wire.Keys;

/**
 * Gets keys issued for callers by an agent of the service that they name. Safe for use by
 * any thread.
 */
final class IdempotencyKeyEndpoint {

	/** Where callers ask for a key. */
	static final String PATH = "/catkingate/idempotency-keys";

	private static final long AGENT_TIMEOUT_MILLIS = 2_000;

	private static final int CREATED = 201;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Map<RequestId, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

	private final EntryContext context;

	IdempotencyKeyEndpoint(EntryContext support) {
		this.context = support;
	}

	/**
	 * Asks an agent for a key; the exchange is answered later.
	 * @param exchange the caller's exchange
	 * @param id the request
	 * @param account the client account
	 * @throws RequestRejectedException if no agent is asked
	 */
	void handle(HttpServerExchange exchange, RequestId id, ClientAccount account) throws RequestRejectedException {
		ServiceName service = requestedService(exchange);
		InstanceId agent = chooseAgent(service, id).orElseThrow(() -> noAgentAvailable());
		LimitDecision decision = this.context.tryStart(account);
		if (!decision.isAllowed()) {
			throw new RequestRejectedException(Failure.of(decision));
		}
		PendingRequest one = new PendingRequest(exchange, account);
		this.pendingRequests.put(id, one);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> requestKey(id, agent, account, service));
	}

	private ServiceName requestedService(HttpServerExchange exchange) throws RequestRejectedException {
		Deque<String> named = exchange.getQueryParameters().get("service");
		Optional<ServiceName> service = this.context.fleet()
			.configuration()
			.services()
			.keySet()
			.stream()
			.filter((name) -> named != null && name.value().equals(named.peekFirst()))
			.findFirst();
		if (!exchange.getRequestMethod().equals(Methods.POST) || service.isEmpty()) {
			throw new RequestRejectedException(
					Failure.of(FailureKind.BAD_REQUEST, "use POST " + PATH + "?service=SERVICE with a known service"));
		}
		return service.get();
	}

	private Optional<InstanceId> chooseAgent(ServiceName service, RequestId id) {
		List<InstanceId> able = this.context.fleet()
			.agents()
			.values()
			.stream()
			.filter((agent) -> agent.takesWork() && serves(agent, service))
			.map((agent) -> agent.instance().id())
			.sorted()
			.toList();
		return able.isEmpty() ? Optional.empty() : Optional.of(able.get(Math.floorMod(id.low(), able.size())));
	}

	private static boolean serves(AgentView agent, ServiceName service) {
		return agent.runners().stream().anyMatch((runner) -> runner.admitting() && runner.service().equals(service));
	}

	private static RequestRejectedException noAgentAvailable() {
		return new RequestRejectedException(Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"no agent can issue a key at present; come back later"));
	}

	private void requestKey(RequestId id, InstanceId agent, ClientAccount account, ServiceName service) {
		PendingRequest one = Objects.requireNonNull(this.pendingRequests.get(id));
		one.exchange().addExchangeCompleteListener((completed, next) -> {
			this.pendingRequests.remove(id);
			this.context.releaseLimits(account);
			next.proceed();
		});
		boolean sent = this.context.connectionTo(agent)
			.map((connection) -> connection.frames().send(new Keys.IssueKey(id, account.name(), service)))
			.orElse(false);
		long patience = sent ? AGENT_TIMEOUT_MILLIS : 0;
		one.exchange().getIoThread().executeAfter(() -> expire(id), patience, TimeUnit.MILLISECONDS);
	}

	private void expire(RequestId id) {
		PendingRequest one = this.pendingRequests.remove(id);
		if (one != null) {
			FailureWriter.write(one.exchange(), noAgentAvailable().failure());
		}
	}

	/**
	 * Takes a key that an agent has issued.
	 * @param issued the key
	 */
	void complete(Keys.IssuedKey issued) {
		PendingRequest one = this.pendingRequests.remove(issued.request());
		if (one != null) {
			one.exchange().getIoThread().execute(() -> writeKey(one.exchange(), issued));
		}
	}

	private static void writeKey(HttpServerExchange exchange, Keys.IssuedKey issued) {
		exchange.setStatusCode(CREATED);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(body(issued));
	}

	private static String body(Keys.IssuedKey issued) {
		try {
			return MAPPER.writeValueAsString(new Body(issued.key(), issued.validMillis() / MILLIS_PER_SECOND));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a text and a number could not be written as JSON", ex);
		}
	}

	/**
	 * A caller that waits for a key.
	 *
	 * @param exchange its exchange
	 * @param account its client account
	 */
	private record PendingRequest(HttpServerExchange exchange, ClientAccount account) {

	}

	/**
	 * The body of an answer.
	 *
	 * @param key the key
	 * @param validSeconds for how long it may be used, in seconds
	 */
	private record Body(String key, @JsonProperty("valid-for-s") long validSeconds) {

	}

}
