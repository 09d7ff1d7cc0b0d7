package org.catkingate.standins.engine;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

import org.catkingate.standins.HttpService;

/**
 * The generation of one answer, token by token. A caller that does not read holds it up.
 * Confined to the I/O thread of its connection, but for {@link #start} and
 * {@link #cancel}, which any thread may call.
 */
final class Generation {

	private static final HttpString DIGEST = new HttpString("X-Weights-Digest");

	private static final int TOKENS_PER_WRITE = 64;

	private final HttpServerExchange exchange;

	private final EngineRequest request;

	private final EngineParts engine;

	private final long order;

	private final StringBuilder text = new StringBuilder();

	private StreamSinkChannel channel;

	private ByteBuffer pending = ByteBuffer.allocate(0);

	private String digest;

	private String seedDigest;

	private long seed;

	private int next;

	private long nextAtNanos;

	private long startedMillis;

	private boolean started;

	private boolean mixed;

	private boolean ended;

	Generation(HttpServerExchange exchange, EngineRequest request, EngineParts engine) {
		this.exchange = exchange;
		this.request = request;
		this.engine = engine;
		this.order = engine.batch().nextOrder();
		this.next = request.resumeFrom();
	}

	EngineRequest request() {
		return this.request;
	}

	long order() {
		return this.order;
	}

	void start(boolean needsReading) {
		this.exchange.getIoThread().execute(() -> begin(needsReading));
	}

	void cancel() {
		this.exchange.getIoThread().execute(this::abandon);
	}

	/**
	 * Ends the generation when its caller leaves.
	 */
	void watch() {
		HttpService.whenAbandoned(this.exchange, this::abandon);
	}

	private void begin(boolean needsReading) {
		if (this.ended) {
			return;
		}
		this.started = true;
		this.startedMillis = System.currentTimeMillis();
		this.digest = this.engine.memory().contents().digest();
		this.exchange.getResponseHeaders().put(DIGEST, this.digest);
		String type = this.request.stream() ? "text/event-stream" : "application/json";
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		long reading = needsReading ? this.engine.options().prefillMicrosPerCharacter * this.request.prompt().length()
				: 0;
		this.nextAtNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(reading);
		if (this.request.stream()) {
			this.channel = this.exchange.getResponseChannel();
			this.channel.getWriteSetter().set((writable) -> write());
		}
		schedule();
	}

	private void schedule() {
		long due = this.nextAtNanos + TimeUnit.MICROSECONDS.toNanos(this.engine.options().tokenMicros);
		long wait = TimeUnit.NANOSECONDS.toMillis(due - System.nanoTime());
		if (wait > 0) {
			this.exchange.getIoThread().executeAfter(this::step, wait, TimeUnit.MILLISECONDS);
		}
		else {
			this.exchange.getIoThread().execute(this::step);
		}
	}

	private void step() {
		if (this.ended) {
			return;
		}
		generateDue();
		int limit = this.engine.options().dieAfterTokens;
		if (limit > 0 && this.next - this.request.resumeFrom() >= limit) {
			flushAndDie();
		}
		else if (this.request.stream()) {
			write();
		}
		else if (this.next >= this.request.maxTokens()) {
			sendWhole();
		}
		else {
			schedule();
		}
	}

	private void generateDue() {
		long perToken = TimeUnit.MICROSECONDS.toNanos(this.engine.options().tokenMicros);
		long now = System.nanoTime();
		StringBuilder events = new StringBuilder();
		int count = 0;
		while (this.next < this.request.maxTokens() && count < TOKENS_PER_WRITE
				&& this.nextAtNanos + perToken - now <= 0) {
			String token = token();
			this.text.append(token);
			events.append("data: {\"index\":")
				.append(this.next)
				.append(",\"choices\":[{\"text\":\"")
				.append(token)
				.append("\"}]}\n\n");
			this.next++;
			this.nextAtNanos += perToken;
			count++;
		}
		if (this.request.stream()) {
			this.text.setLength(0);
			if (this.next >= this.request.maxTokens()) {
				events.append("data: [DONE]\n\n");
			}
			this.pending = ByteBuffer.wrap(events.toString().getBytes(StandardCharsets.UTF_8));
		}
	}

	private String token() {
		String held = this.engine.memory().contents().digest();
		if (!held.equals(this.seedDigest)) {
			this.seedDigest = held;
			this.seed = Tokens.seed(this.request.prompt(), held);
			this.mixed |= !held.equals(this.digest);
		}
		return Tokens.token(this.seed, this.next);
	}

	private void write() {
		if (this.ended) {
			return;
		}
		try {
			while (this.pending.hasRemaining()) {
				if (this.channel.write(this.pending) == 0) {
					this.channel.resumeWrites();
					return;
				}
			}
			this.channel.suspendWrites();
			if (this.next < this.request.maxTokens()) {
				this.channel.flush();
				this.nextAtNanos = Math.max(this.nextAtNanos, System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
				schedule();
			}
			else {
				finishStream();
			}
		}
		catch (IOException ex) {
			abandon();
		}
	}

	private void finishStream() throws IOException {
		end(false);
		this.channel.shutdownWrites();
		if (!this.channel.flush()) {
			this.channel.getWriteSetter()
				.set(ChannelListeners.flushingChannelListener(null, ChannelListeners.closingChannelExceptionHandler()));
			this.channel.resumeWrites();
		}
	}

	private void sendWhole() {
		end(false);
		String answer = HttpService.JSON.createObjectNode()
			.put("id", this.request.id())
			.put("text", this.text.toString())
			.put("tokens", this.next - this.request.resumeFrom())
			.toString();
		this.exchange.getResponseSender().send(answer);
	}

	private void flushAndDie() {
		try {
			if (this.request.stream()) {
				this.channel.write(this.pending);
				this.channel.flush();
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.channel);
		}
		abandon();
	}

	private void abandon() {
		if (!this.ended) {
			end(true);
			HttpService.cut(this.exchange);
		}
	}

	private void end(boolean cancelled) {
		this.ended = true;
		this.engine.batch().leave(this);
		if (this.started) {
			this.engine.runs()
				.add(new EngineRun(this.request.id(), this.request.prompt(), this.startedMillis,
						System.currentTimeMillis(), this.next - this.request.resumeFrom(), cancelled, this.digest,
						this.mixed));
		}
	}

}
