package org.catkingate.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.idempotency.KeyScope;
import org.catkingate.decisions.limits.LimitDecision;
import org.catkingate.model.RequestId;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.wire.Traffic;

/**
 * Admits callers' requests: key, rule and limits first, so that a refusal costs no body;
 * then the body, within its size and time. Runs on the callers' I/O threads. Safe for use
 * by any thread.
 */
final class CallHandler implements HttpHandler {

	private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

	private static final HttpString TIMEOUT = new HttpString("X-Request-Timeout-Ms");

	private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

	private final Accounts accounts = new Accounts();

	private final CallSupport support;

	private final KeyDesk keys;

	private final EntrySettings settings;

	private final BooleanSupplier leaving;

	CallHandler(CallSupport support, KeyDesk keys, EntrySettings settings, BooleanSupplier leaving) {
		this.support = support;
		this.keys = keys;
		this.settings = settings;
		this.leaving = leaving;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		RequestId id = newRequestId();
		exchange.getResponseHeaders().put(REQUEST_ID, id.toString());
		try {
			admit(exchange, id);
		}
		catch (CallRefusedException ex) {
			this.support.failed(ex.failure().kind());
			FailureWriter.write(exchange, ex.failure());
		}
	}

	private static RequestId newRequestId() {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		return new RequestId(random.nextLong(), random.nextLong());
	}

	private void admit(HttpServerExchange exchange, RequestId id) throws CallRefusedException {
		checkForm(exchange);
		PublishedConfiguration configuration = this.support.fleet().configuration();
		ClientAccount account = account(exchange, configuration);
		if (exchange.getRequestPath().equals(KeyDesk.PATH)) {
			this.keys.issue(exchange, id, account);
			return;
		}
		RoutingRule rule = rule(exchange, configuration, account);
		Service service = configuration.service(rule.service())
			.orElseThrow(() -> refused(FailureKind.NO_RULE, "the rule names no known service; publish it"));
		checkPause(exchange);
		LimitDecision decision = this.support.startWithinLimits(account);
		if (!decision.isAllowed()) {
			throw new CallRefusedException(Failure.of(decision));
		}
		readBody(exchange, new Admitted(id, account, rule, service, this.support.nowMillis()));
	}

	private void checkForm(HttpServerExchange exchange) throws CallRefusedException {
		if (this.leaving.getAsBoolean()) {
			throw new CallRefusedException(
					Failure.comeBackSoon(FailureKind.LEAVING, "this entry is leaving; use another"));
		}
		if (!exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
			throw refused(FailureKind.HTTP_VERSION, "use HTTP/1.1");
		}
		if (exchange.getRequestContentLength() > this.settings.maximumBodyBytes()) {
			throw refused(FailureKind.BODY_TOO_LONG,
					"the body may have at most " + this.settings.maximumBodyBytes() + " bytes; send less");
		}
		String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
		if (key != null && !KeyScope.isValidKey(key)) {
			throw refused(FailureKind.BAD_REQUEST, "Idempotency-Key must have 1 to 255 printable ASCII characters");
		}
	}

	private void checkPause(HttpServerExchange exchange) throws CallRefusedException {
		if (exchange.getRequestHeaders().contains(IDEMPOTENCY_KEY) && this.support.wasPausedLately()) {
			throw new CallRefusedException(Failure.comeBackSoon(FailureKind.NOT_RUN,
					"this entry was paused, and the call may have waited for long; repeat with the same key"));
		}
	}

	private ClientAccount account(HttpServerExchange exchange, PublishedConfiguration configuration)
			throws CallRefusedException {
		String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		return this.accounts.find(configuration, authorization)
			.orElseThrow(() -> refused(FailureKind.UNKNOWN_KEY,
					"no client account has this key; send Authorization: Bearer KEY"));
	}

	private RoutingRule rule(HttpServerExchange exchange, PublishedConfiguration configuration, ClientAccount account)
			throws CallRefusedException {
		String method = exchange.getRequestMethod().toString();
		String path = exchange.getRequestPath();
		for (RoutingRule rule : configuration.rules()) {
			if (rule.applies(account.labels(), method, path)) {
				return rule;
			}
		}
		throw refused(FailureKind.NO_RULE, "no rule sends this call anywhere; check method and path");
	}

	private static CallRefusedException refused(FailureKind kind, String message) {
		return new CallRefusedException(Failure.of(kind, message));
	}

	private void readBody(HttpServerExchange exchange, Admitted admitted) {
		XnioExecutor.Key patience = exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), this.settings.bodyTimeoutMillis(),
					TimeUnit.MILLISECONDS);
		BodyReading reading = new BodyReading(exchange, this.support, admitted.account(), patience);
		reading.start((body) -> start(exchange, admitted, body));
	}

	private void start(HttpServerExchange exchange, Admitted admitted, byte[] body) {
		Call call = new Call(request(exchange, admitted, body), exchange, this.support);
		exchange.dispatch(SameThreadExecutor.INSTANCE, call::start);
	}

	private CallRequest request(HttpServerExchange exchange, Admitted admitted, byte[] body) {
		String method = exchange.getRequestMethod().toString();
		boolean idempotent = admitted.service().isIdempotent(method, exchange.getRequestPath());
		String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
		return new CallRequest(admitted.id(), admitted.account(), admitted.rule(), admitted.service(), idempotent, key,
				admitted.arrivedAtMillis(), this.support.nowMillis() + timeoutMillis(exchange), method,
				target(exchange), headers(exchange), body);
	}

	private long timeoutMillis(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(TIMEOUT);
		try {
			long named = (value != null) ? Long.parseLong(value.strip()) : this.settings.defaultDeadlineMillis();
			return Math.max(1, Math.min(named, this.settings.maximumDeadlineMillis()));
		}
		catch (NumberFormatException ex) {
			return this.settings.defaultDeadlineMillis();
		}
	}

	private static String target(HttpServerExchange exchange) {
		String query = exchange.getQueryString();
		return (query.isEmpty()) ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
	}

	private static List<Traffic.Header> headers(HttpServerExchange exchange) {
		List<Traffic.Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			if (!CallHeaders.isOwn(values.getHeaderName())) {
				values.forEach((value) -> headers.add(new Traffic.Header(values.getHeaderName().toString(), value)));
			}
		}
		return headers;
	}

	/**
	 * What is known of a request before its body.
	 *
	 * @param id its identity
	 * @param account its client account
	 * @param rule the rule that applies
	 * @param service where the rule sends it
	 */
	private record Admitted(RequestId id, ClientAccount account, RoutingRule rule, Service service,
			long arrivedAtMillis) {

	}

}
