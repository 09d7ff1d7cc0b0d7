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
 * The token-by-token generation of one response. It is paused while a client does not
 * read its stream. Confined to the I/O thread of its connection, except for
 * {@link #start} and {@link #cancel}, which may be called by any thread.
 */
final class Generation {

	private static final HttpString DIGEST_HEADER = new HttpString("X-Weights-Digest");

	private static final int MAX_TOKENS_PER_WRITE = 64;

	private final HttpServerExchange exchange;

	private final EngineRequest request;

	private final EngineComponents components;

	private final long sequenceNumber;

	private final StringBuilder text = new StringBuilder();

	private StreamSinkChannel channel;

	private ByteBuffer unsentEvents = ByteBuffer.allocate(0);

	private String initialDigest;

	private String seedDigest;

	private long seed;

	private int nextIndex;

	private long nextTokenNanos;

	private long startedMillis;

	private boolean started;

	private boolean mixed;

	private boolean ended;

	Generation(HttpServerExchange exchange, EngineRequest request, EngineComponents components) {
		this.exchange = exchange;
		this.request = request;
		this.components = components;
		this.sequenceNumber = components.scheduler().nextSequenceNumber();
		this.nextIndex = request.resumeFrom();
	}

	EngineRequest request() {
		return this.request;
	}

	long sequenceNumber() {
		return this.sequenceNumber;
	}

	void start(boolean needsPrefill) {
		this.exchange.getIoThread().execute(() -> startOnIoThread(needsPrefill));
	}

	void cancel() {
		this.exchange.getIoThread().execute(this::abort);
	}

	/**
	 * Cancels the generation when the client disconnects.
	 */
	void cancelOnClientDisconnect() {
		HttpService.onClientDisconnect(this.exchange, this::abort);
	}

	private void startOnIoThread(boolean needsPrefill) {
		if (this.ended) {
			return;
		}
		this.started = true;
		this.startedMillis = System.currentTimeMillis();
		this.initialDigest = this.components.memory().contents().digest();
		this.exchange.getResponseHeaders().put(DIGEST_HEADER, this.initialDigest);
		String type = this.request.stream() ? "text/event-stream" : "application/json";
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		long prefillMicros = needsPrefill
				? this.components.options().prefillMicrosPerCharacter * this.request.prompt().length() : 0;
		this.nextTokenNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(prefillMicros);
		if (this.request.stream()) {
			this.channel = this.exchange.getResponseChannel();
			this.channel.getWriteSetter().set((writable) -> write());
		}
		scheduleNextTokens();
	}

	private void scheduleNextTokens() {
		long dueNanos = this.nextTokenNanos + TimeUnit.MICROSECONDS.toNanos(this.components.options().tokenMicros);
		long waitMillis = TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime());
		if (waitMillis > 0) {
			this.exchange.getIoThread().executeAfter(this::generateAndSend, waitMillis, TimeUnit.MILLISECONDS);
		}
		else {
			this.exchange.getIoThread().execute(this::generateAndSend);
		}
	}

	private void generateAndSend() {
		if (this.ended) {
			return;
		}
		generateDueTokens();
		int maxTokensBeforeFailure = this.components.options().dieAfterTokens;
		if (maxTokensBeforeFailure > 0 && this.nextIndex - this.request.resumeFrom() >= maxTokensBeforeFailure) {
			flushAndAbort();
		}
		else if (this.request.stream()) {
			write();
		}
		else if (this.nextIndex >= this.request.maxTokens()) {
			sendResponse();
		}
		else {
			scheduleNextTokens();
		}
	}

	private void generateDueTokens() {
		long nanosPerToken = TimeUnit.MICROSECONDS.toNanos(this.components.options().tokenMicros);
		long now = System.nanoTime();
		StringBuilder events = new StringBuilder();
		int count = 0;
		while (this.nextIndex < this.request.maxTokens() && count < MAX_TOKENS_PER_WRITE
				&& this.nextTokenNanos + nanosPerToken - now <= 0) {
			String token = nextToken();
			this.text.append(token);
			events.append("data: {\"index\":")
				.append(this.nextIndex)
				.append(",\"choices\":[{\"text\":\"")
				.append(token)
				.append("\"}]}\n\n");
			this.nextIndex++;
			this.nextTokenNanos += nanosPerToken;
			count++;
		}
		if (this.request.stream()) {
			this.text.setLength(0);
			if (this.nextIndex >= this.request.maxTokens()) {
				events.append("data: [DONE]\n\n");
			}
			this.unsentEvents = ByteBuffer.wrap(events.toString().getBytes(StandardCharsets.UTF_8));
		}
	}

	private String nextToken() {
		String currentDigest = this.components.memory().contents().digest();
		if (!currentDigest.equals(this.seedDigest)) {
			this.seedDigest = currentDigest;
			this.seed = TokenGenerator.seed(this.request.prompt(), currentDigest);
			this.mixed |= !currentDigest.equals(this.initialDigest);
		}
		return TokenGenerator.token(this.seed, this.nextIndex);
	}

	private void write() {
		if (this.ended) {
			return;
		}
		try {
			while (this.unsentEvents.hasRemaining()) {
				if (this.channel.write(this.unsentEvents) == 0) {
					this.channel.resumeWrites();
					return;
				}
			}
			this.channel.suspendWrites();
			if (this.nextIndex < this.request.maxTokens()) {
				this.channel.flush();
				// after a client has not read for a long time, catch up one second only
				this.nextTokenNanos = Math.max(this.nextTokenNanos, System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
				scheduleNextTokens();
			}
			else {
				finishStream();
			}
		}
		catch (IOException ex) {
			abort();
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

	private void sendResponse() {
		end(false);
		String response = HttpService.JSON.createObjectNode()
			.put("id", this.request.id())
			.put("text", this.text.toString())
			.put("tokens", this.nextIndex - this.request.resumeFrom())
			.toString();
		this.exchange.getResponseSender().send(response);
	}

	private void flushAndAbort() {
		try {
			if (this.request.stream()) {
				this.channel.write(this.unsentEvents);
				this.channel.flush();
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.channel);
		}
		abort();
	}

	private void abort() {
		if (!this.ended) {
			end(true);
			HttpService.closeConnection(this.exchange);
		}
	}

	private void end(boolean cancelled) {
		this.ended = true;
		this.components.scheduler().remove(this);
		if (this.started) {
			this.components.runs()
				.add(new EngineRun(this.request.id(), this.request.prompt(), this.startedMillis,
						System.currentTimeMillis(), this.nextIndex - this.request.resumeFrom(), cancelled,
						this.initialDigest, this.mixed));
		}
	}

}
