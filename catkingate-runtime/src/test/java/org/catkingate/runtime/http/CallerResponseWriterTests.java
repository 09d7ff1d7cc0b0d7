package org.catkingate.runtime.http;

import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of responses that are written to a caller, over a real socket.
 */
class CallerResponseWriterTests {

	private static final int BUFFERS = 10;

	private static final int BUFFER_BYTES = 10_000;

	private static final int BODY_BYTES = BUFFERS * BUFFER_BYTES;

	private final List<WeakReference<byte[]>> buffers = Collections.synchronizedList(new ArrayList<>());

	/*
	 * Starts a response whose last byte is missing.
	 */
	private void respond(HttpServerExchange exchange) {
		CallerResponseWriter writer = new CallerResponseWriter(exchange, () -> {
		}, () -> {
		});
		for (int i = 0; i < BUFFERS; i++) {
			byte[] bytes = new byte[BUFFER_BYTES];
			this.buffers.add(new WeakReference<>(bytes));
			writer.add(ByteBuffer.wrap(bytes));
		}
		writer.start(StatusCodes.OK, new HeaderMap().put(Headers.CONTENT_LENGTH, BODY_BYTES + 1));
		writer.writePendingBytes();
	}

	private long heldBuffers() {
		System.gc();
		return this.buffers.stream().filter((buffer) -> buffer.get() != null).count();
	}

	// Guards against a heap that is filled by responses of which callers have read all
	// that has arrived, and that have not ended.
	@Test
	void holdsNoMoreThanOneBufferThatHasBeenWritten() throws Exception {
		Undertow server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> respond(exchange)))
			.build();
		server.start();
		InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
		try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
			caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(caller.getInputStream().readNBytes(BODY_BYTES)).hasSize(BODY_BYTES);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> heldBuffers() <= 1);
		}
		finally {
			server.stop();
		}
	}

}
