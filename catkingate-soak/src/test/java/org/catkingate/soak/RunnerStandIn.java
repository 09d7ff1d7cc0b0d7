package org.catkingate.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.catkingate.standins.raw.RawServer;

/**
 * A stand-in of one boot of a runner, which reports to the judge what it runs. Safe for
 * use by any thread.
 */
final class RunnerStandIn implements AutoCloseable {

	/** The number of requests that it begins to run at the same time. */
	static final int SLOTS = 8;

	/** How long a busy runner asks to be left alone, in seconds. */
	private static final int PAUSE_SECONDS = 3;

	private static final int EVENT_COUNT = 6;

	private static final long DEFAULT_PAUSE_MILLIS = 25;

	/** The duration of a stream in milliseconds, at the end of its path. */
	private static final Pattern WORK = Pattern.compile("/([0-9]+)$");

	private static final int SHORT_BODY_CHARS = 200;

	/** More than a caller that reads slowly has on the way. */
	private static final int LONG_BODY_CHARS = 60_000;

	private static final Pattern HEADER = Pattern.compile("(?m)^([^:\r\n]+): *([^\r\n]*)");

	/** The behaviours with which a runner sends whole responses and nothing else. */
	private static final Set<RunnerBehaviour> WHOLE = EnumSet.of(RunnerBehaviour.SOUND, RunnerBehaviour.FAILING,
			RunnerBehaviour.BUSY);

	private static final AtomicLong NEXT_RUN = new AtomicLong();

	private final AtomicInteger running = new AtomicInteger();

	private final String id;

	private final String service;

	private final Judge judge;

	private final SoakClock clock;

	private final RawServer server;

	private final ModelWeights weights;

	private volatile RunnerBehaviour behaviour = RunnerBehaviour.SOUND;

	private volatile boolean leaving;

	private volatile String lastResponse = "";

	/**
	 * Starts a runner.
	 * @param id its identifier
	 * @param service its service
	 * @param weights its weights, null if it is not a model runner
	 */
	RunnerStandIn(String id, String service, ModelWeights weights, Judge judge, SoakClock clock) throws IOException {
		this.id = id;
		this.service = service;
		this.weights = weights;
		this.judge = judge;
		this.clock = clock;
		this.server = RawServer.respondingTo(this::respond);
	}

	String id() {
		return this.id;
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	void behave(RunnerBehaviour next) {
		this.behaviour = next;
	}

	void leave() {
		this.leaving = true;
	}

	private RawServer.Response respond(RawServer.Request request) {
		String path = request.head().split(" ")[1];
		if (path.equals("/healthz")) {
			return respond(this.leaving ? 503 : 200, "X-Instance-Id: " + this.id + "\r\n", "");
		}
		if (this.weights != null && !path.startsWith(RequestKind.GENERATION.pathPrefix())) {
			return this.weights.respond(request, this.running.get());
		}
		String requestId = header(request, "X-Request-Id");
		if (!header(request, "X-Expect-Instance").equals(this.id)) {
			return respond(421, "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + this.id + "\r\n", "");
		}
		this.judge.requestArrived(requestId, this.id, this.clock.millis());
		if (this.behaviour == RunnerBehaviour.BUSY) {
			this.judge.pauseRequested(requestId, this.id, this.clock.millis(), PAUSE_SECONDS * 1000L);
			return reject(requestId, "Retry-After: " + PAUSE_SECONDS + "\r\n");
		}
		if (this.weights != null && !this.weights.areLoaded()) {
			return reject(requestId, "");
		}
		if (this.running.incrementAndGet() > SLOTS) {
			this.running.decrementAndGet();
			return reject(requestId, "");
		}
		try {
			return run(request, path, requestId);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private static String header(RawServer.Request request, String name) {
		Matcher matcher = HEADER.matcher(request.head());
		while (matcher.find()) {
			if (matcher.group(1).toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT))) {
				return matcher.group(2).strip();
			}
		}
		return "";
	}

	private RawServer.Response run(RawServer.Request request, String path, String requestId) {
		String signature = this.id + "." + NEXT_RUN.incrementAndGet();
		String resumed = header(request, "Last-Event-Id");
		int resumesAfter = resumed.isEmpty() ? 0 : Integer.parseInt(resumed);
		RunnerBehaviour current = this.behaviour;
		boolean stream = !this.service.equals(RequestKind.READ.service());
		int status = (current == RunnerBehaviour.FAILING) ? 500 : 200;
		List<String> pieces = new ArrayList<>();
		if (status == 200 && stream) {
			for (int number = resumesAfter + 1; number <= EVENT_COUNT; number++) {
				pieces.add(StreamEvents.format(requestId, signature, number, EVENT_COUNT));
			}
		}
		else {
			pieces.add(status + " for " + requestId + " by " + signature + " ");
			pieces.add("x".repeat(requestId.endsWith("0") ? LONG_BODY_CHARS : SHORT_BODY_CHARS));
		}
		this.judge.runStarted(new RunnerRun(signature, requestId, this.id, this.service, path, request.body(),
				header(request, "X-Tenant"), !header(request, "Authorization").isEmpty(), resumesAfter, status,
				String.join("", pieces), this.weights == null || this.weights.areWhole(), this.clock.millis()));
		if (!WHOLE.contains(current)) {
			this.judge.responseWithheld(requestId);
		}
		Matcher work = WORK.matcher(path);
		// there is a pause after the head, too
		long pauseMillis = work.find() ? Long.parseLong(work.group(1)) / (EVENT_COUNT + 1) : DEFAULT_PAUSE_MILLIS;
		if (!stream) {
			pause(DEFAULT_PAUSE_MILLIS);
		}
		String headers = "X-Request-Id: " + requestId + "\r\nX-Server-Seal: " + signature + "\r\nX-Instance-Load: "
				+ this.running.get() + ",0," + SLOTS + "\r\n" + leavingHeader();
		return write(current, status, headers, pieces, stream && status == 200, pauseMillis);
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private RawServer.Response write(RunnerBehaviour current, int status, String headers, List<String> pieces,
			boolean stream, long eventPauseMillis) {
		String start = "HTTP/1.1 " + status + " Status\r\n" + headers
				+ (stream ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n");
		List<String> parts = new ArrayList<>();
		if (stream) {
			parts.add(start + "Transfer-Encoding: chunked\r\n\r\n");
			pieces.forEach((piece) -> parts.add(Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"));
			parts.add("0\r\n\r\n");
		}
		else {
			String text = String.join("", pieces);
			parts.add(start + "Content-Length: " + text.length() + "\r\n\r\n" + text);
		}
		String previous = this.lastResponse;
		this.lastResponse = String.join("", parts);
		return switch (current) {
			case SOUND, FAILING, BUSY -> end(parts, RawServer.Ending.KEEP_OPEN, eventPauseMillis);
			case BREAKING_OFF -> end(cutInTheMiddle(parts), RawServer.Ending.CLOSE, eventPauseMillis);
			case RESETTING -> end(cutInTheMiddle(parts), RawServer.Ending.RESET, eventPauseMillis);
			case GARBLED -> end(List.of("\u0016\u0003garbled " + pieces), RawServer.Ending.CLOSE, eventPauseMillis);
			case SURPLUS_BYTES ->
				end(append(parts, "surplus bytes\r\n\r\n"), RawServer.Ending.KEEP_OPEN, eventPauseMillis);
			case REPEATING_OLD_RESPONSE ->
				end(append(List.of(previous), parts), RawServer.Ending.KEEP_OPEN, eventPauseMillis);
			case UNFRAMED -> end(append(List.of(start + "Connection: close\r\n\r\n"), pieces), RawServer.Ending.CLOSE,
					eventPauseMillis);
			case UNFRAMED_AND_RESET -> end(List.of(start + "Connection: close\r\n\r\n", pieces.get(0)),
					RawServer.Ending.RESET, eventPauseMillis);
			case SILENT -> end(List.of(), RawServer.Ending.KEEP_OPEN, eventPauseMillis);
		};
	}

	private static RawServer.Response end(List<String> parts, RawServer.Ending ending, long pauseMillis) {
		return new RawServer.Response(parts, ending, pauseMillis);
	}

	private static List<String> cutInTheMiddle(List<String> parts) {
		List<String> cut = new ArrayList<>(parts.subList(0, parts.size() / 2));
		String next = parts.get(parts.size() / 2);
		cut.add(next.substring(0, next.length() - Math.min(next.length(), 12)));
		return cut;
	}

	private static List<String> append(List<String> parts, String last) {
		return append(parts, List.of(last));
	}

	private static List<String> append(List<String> first, List<String> second) {
		List<String> all = new ArrayList<>(first);
		all.addAll(second);
		return all;
	}

	private RawServer.Response reject(String requestId, String headers) {
		return respond(503, "X-Request-Id: " + requestId + "\r\nX-Not-Executed: 1\r\n" + headers, "");
	}

	private RawServer.Response respond(int status, String headers, String body) {
		return new RawServer.Response(List.of("HTTP/1.1 " + status + " Status\r\n" + headers + leavingHeader()
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body), RawServer.Ending.KEEP_OPEN, 0);
	}

	private String leavingHeader() {
		return this.leaving ? "Server-Leaving: 1\r\n" : "";
	}

	@Override
	public void close() {
		this.server.close();
	}

}
