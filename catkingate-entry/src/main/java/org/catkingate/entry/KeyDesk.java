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
final class KeyDesk {

	/** Where callers ask for a key. */
	static final String PATH = "/catkingate/idempotency-keys";

	private static final long PATIENCE_MILLIS = 2_000;

	private static final int CREATED = 201;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Map<RequestId, Waiting> waiting = new ConcurrentHashMap<>();

	private final CallSupport support;

	KeyDesk(CallSupport support) {
		this.support = support;
	}

	/**
	 * Asks an agent for a key; the exchange is answered later.
	 * @param exchange the caller's exchange
	 * @param id the request
	 * @param account the client account
	 * @throws CallRefusedException if no agent is asked
	 */
	void issue(HttpServerExchange exchange, RequestId id, ClientAccount account) throws CallRefusedException {
		ServiceName service = service(exchange);
		InstanceId agent = agent(service, id).orElseThrow(() -> unavailable());
		LimitDecision decision = this.support.startWithinLimits(account);
		if (!decision.isAllowed()) {
			throw new CallRefusedException(Failure.of(decision));
		}
		Waiting one = new Waiting(exchange, account);
		this.waiting.put(id, one);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> ask(id, agent, account, service));
	}

	private ServiceName service(HttpServerExchange exchange) throws CallRefusedException {
		Deque<String> named = exchange.getQueryParameters().get("service");
		Optional<ServiceName> service = this.support.fleet()
			.configuration()
			.services()
			.keySet()
			.stream()
			.filter((name) -> named != null && name.value().equals(named.peekFirst()))
			.findFirst();
		if (!exchange.getRequestMethod().equals(Methods.POST) || service.isEmpty()) {
			throw new CallRefusedException(
					Failure.of(FailureKind.BAD_REQUEST, "use POST " + PATH + "?service=SERVICE with a known service"));
		}
		return service.get();
	}

	private Optional<InstanceId> agent(ServiceName service, RequestId id) {
		List<InstanceId> able = this.support.fleet()
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

	private static CallRefusedException unavailable() {
		return new CallRefusedException(
				Failure.comeBackSoon(FailureKind.NOT_RUN, "no agent can issue a key at present; come back later"));
	}

	private void ask(RequestId id, InstanceId agent, ClientAccount account, ServiceName service) {
		Waiting one = Objects.requireNonNull(this.waiting.get(id));
		one.exchange().addExchangeCompleteListener((completed, next) -> {
			this.waiting.remove(id);
			this.support.abandoned(account);
			next.proceed();
		});
		boolean sent = this.support.connectionTo(agent)
			.map((connection) -> connection.frames().send(new Keys.IssueKey(id, account.name(), service)))
			.orElse(false);
		long patience = sent ? PATIENCE_MILLIS : 0;
		one.exchange().getIoThread().executeAfter(() -> giveUp(id), patience, TimeUnit.MILLISECONDS);
	}

	private void giveUp(RequestId id) {
		Waiting one = this.waiting.remove(id);
		if (one != null) {
			FailureWriter.write(one.exchange(), unavailable().failure());
		}
	}

	/**
	 * Takes a key that an agent has issued.
	 * @param issued the key
	 */
	void issued(Keys.IssuedKey issued) {
		Waiting one = this.waiting.remove(issued.request());
		if (one != null) {
			one.exchange().getIoThread().execute(() -> write(one.exchange(), issued));
		}
	}

	private static void write(HttpServerExchange exchange, Keys.IssuedKey issued) {
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
	private record Waiting(HttpServerExchange exchange, ClientAccount account) {

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
