package org.catkingate.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.limits.LimitDecision;
import org.catkingate.model.RequestId;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.http.RequestBodies;
import org.catkingate.wire.RequestMessage;

/**
 * The HTTP handler that admits callers' requests. It checks the key, the routing rule and
 * the limits before it reads the body, so that a rejected request's body is not read;
 * then it reads the body, within the limits of size and time. Runs on the callers' I/O
 * threads. Safe for use by any thread.
 */
final class AdmissionHandler implements HttpHandler {

	private static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

	private static final HttpString TIMEOUT_HEADER = new HttpString("X-Request-Timeout-Ms");

	private static final HttpString IDEMPOTENCY_KEY_HEADER = new HttpString("Idempotency-Key");

	private final AccountAuthenticator authenticator = new AccountAuthenticator();

	private final RequestDispatcher dispatcher;

	private final IdempotencyKeyEndpoint keyEndpoint;

	private final EntrySettings settings;

	private final RequestBodies bodies;

	private final BooleanSupplier shuttingDown;

	private final LongPredicate sendingAllowed;

	AdmissionHandler(RequestDispatcher dispatcher, IdempotencyKeyEndpoint keyEndpoint, EntrySettings settings,
			RequestBodies bodies, BooleanSupplier shuttingDown, LongPredicate sendingAllowed) {
		this.bodies = bodies;
		this.dispatcher = dispatcher;
		this.keyEndpoint = keyEndpoint;
		this.settings = settings;
		this.shuttingDown = shuttingDown;
		this.sendingAllowed = sendingAllowed;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		RequestId id = newRequestId();
		exchange.getResponseHeaders().put(REQUEST_ID_HEADER, id.toString());
		try {
			admit(exchange, id);
		}
		catch (RequestRejectedException ex) {
			this.dispatcher.recordFailure(ex.failure().kind());
			FailureWriter.write(exchange, ex.failure());
		}
	}

	private static RequestId newRequestId() {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		return new RequestId(random.nextLong(), random.nextLong());
	}

	private void admit(HttpServerExchange exchange, RequestId id) throws RequestRejectedException {
		checkHead(exchange);
		PublishedConfiguration configuration = this.dispatcher.fleet().configuration();
		ClientAccount account = authenticate(exchange, configuration);
		if (exchange.getRequestPath().equals(IdempotencyKeyEndpoint.PATH)) {
			this.keyEndpoint.handle(exchange, id, account);
			return;
		}
		RoutingRule rule = findRule(exchange, configuration, account);
		Service service = configuration.service(rule.service())
			.orElseThrow(() -> rejection(FailureKind.NO_RULE, "the rule names no known service; publish it"));
		rejectAfterPause(exchange);
		LimitDecision decision = this.dispatcher.tryStart(account);
		if (!decision.isAllowed()) {
			throw new RequestRejectedException(Failure.of(decision));
		}
		reserveMemory(exchange, account);
		readBody(exchange, new AdmittedHead(id, account, rule, service, this.dispatcher.nowMillis()));
	}

	/*
	 * The length of a body in chunks is not known before its end.
	 */
	private void reserveMemory(HttpServerExchange exchange, ClientAccount account) throws RequestRejectedException {
		if (exchange.isRequestComplete()) {
			return;
		}
		long length = exchange.getRequestContentLength();
		if (!this.bodies.reserve(exchange.getConnection(), (length >= 0) ? length : this.settings.maxBodyBytes())) {
			this.dispatcher.releaseLimits(account);
			throw new RequestRejectedException(Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
					"the memory for the bodies of requests is used up; use another entry or retry later"));
		}
		exchange.addExchangeCompleteListener((completed, next) -> {
			this.bodies.release(completed.getConnection());
			next.proceed();
		});
	}

	private void checkHead(HttpServerExchange exchange) throws RequestRejectedException {
		if (this.shuttingDown.getAsBoolean()) {
			throw new RequestRejectedException(leaving());
		}
		if (!exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
			throw rejection(FailureKind.HTTP_VERSION, "use HTTP/1.1");
		}
		if (exchange.getRequestContentLength() > this.settings.maxBodyBytes()) {
			throw rejection(FailureKind.BODY_TOO_LONG,
					"the body may have at most " + this.settings.maxBodyBytes() + " bytes; send less");
		}
		String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER);
		if (key != null && !ScopedKey.isValidKey(key)) {
			throw rejection(FailureKind.BAD_REQUEST, "Idempotency-Key must have 1 to 255 printable ASCII characters");
		}
	}

	private static Failure leaving() {
		return Failure.withDefaultRetryAfter(FailureKind.LEAVING, "this entry is leaving; use another");
	}

	private void rejectAfterPause(HttpServerExchange exchange) throws RequestRejectedException {
		if (exchange.getRequestHeaders().contains(IDEMPOTENCY_KEY_HEADER) && this.dispatcher.wasRecentlyPaused()) {
			throw new RequestRejectedException(Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
					"this entry was paused, and the call may have waited for long; repeat with the same key"));
		}
	}

	private ClientAccount authenticate(HttpServerExchange exchange, PublishedConfiguration configuration)
			throws RequestRejectedException {
		String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		return this.authenticator.authenticate(configuration, authorization)
			.orElseThrow(() -> rejection(FailureKind.UNKNOWN_KEY,
					"no client account has this key; send Authorization: Bearer KEY"));
	}

	private RoutingRule findRule(HttpServerExchange exchange, PublishedConfiguration configuration,
			ClientAccount account) throws RequestRejectedException {
		String method = exchange.getRequestMethod().toString();
		String path = exchange.getRequestPath();
		for (RoutingRule rule : configuration.rules()) {
			if (rule.appliesTo(account.labels(), method, path)) {
				return rule;
			}
		}
		throw rejection(FailureKind.NO_RULE, "no rule sends this call anywhere; check method and path");
	}

	private static RequestRejectedException rejection(FailureKind kind, String message) {
		return new RequestRejectedException(Failure.of(kind, message));
	}

	private void readBody(HttpServerExchange exchange, AdmittedHead admitted) {
		XnioExecutor.Key timeoutTask = exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), this.settings.bodyTimeoutMillis(),
					TimeUnit.MILLISECONDS);
		RequestBodyReader reader = new RequestBodyReader(exchange, this.dispatcher, admitted.account(), timeoutTask);
		reader.read((body) -> start(exchange, admitted, body));
	}

	private void start(HttpServerExchange exchange, AdmittedHead admitted, byte[] body) {
		long deadlineMillis = this.dispatcher.nowMillis() + timeoutMillis(exchange);
		if (!this.sendingAllowed.test(deadlineMillis)) {
			// the body was complete too late in a shutdown
			this.dispatcher.releaseLimits(admitted.account());
			this.dispatcher.recordFailure(FailureKind.LEAVING);
			FailureWriter.write(exchange, leaving());
			return;
		}
		this.bodies.reduce(exchange.getConnection(), body.length);
		ActiveRequest request = new ActiveRequest(createRequest(exchange, admitted, body, deadlineMillis), exchange,
				this.dispatcher);
		exchange.dispatch(SameThreadExecutor.INSTANCE, request::start);
	}

	private AdmittedRequest createRequest(HttpServerExchange exchange, AdmittedHead admitted, byte[] body,
			long deadlineMillis) {
		String method = exchange.getRequestMethod().toString();
		boolean idempotent = admitted.service().isIdempotent(method, exchange.getRequestPath());
		String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER);
		return new AdmittedRequest(admitted.id(), admitted.account(), admitted.rule(), admitted.service(), idempotent,
				key, admitted.arrivedAtMillis(), deadlineMillis, method, target(exchange), forwardedHeaders(exchange),
				body);
	}

	private long timeoutMillis(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER);
		try {
			long requested = (value != null) ? Long.parseLong(value.strip()) : this.settings.defaultDeadlineMillis();
			return Math.max(1, Math.min(requested, this.settings.maxDeadlineMillis()));
		}
		catch (NumberFormatException ex) {
			return this.settings.defaultDeadlineMillis();
		}
	}

	private static String target(HttpServerExchange exchange) {
		String query = exchange.getQueryString();
		return (query.isEmpty()) ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
	}

	private static List<RequestMessage.Header> forwardedHeaders(HttpServerExchange exchange) {
		List<RequestMessage.Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			if (!RequestHeaderFilter.isRemoved(values.getHeaderName())) {
				values.forEach(
						(value) -> headers.add(new RequestMessage.Header(values.getHeaderName().toString(), value)));
			}
		}
		return headers;
	}

	/**
	 * The properties of an admitted request that are known before its body is read.
	 *
	 * @param id the identifier of the request
	 * @param account the client account
	 * @param rule the rule that applies
	 * @param service the service that the rule names
	 * @param arrivedAtMillis the time at which the head arrived, in milliseconds of the
	 * monotonic clock
	 */
	private record AdmittedHead(RequestId id, ClientAccount account, RoutingRule rule, Service service,
			long arrivedAtMillis) {

	}

}
