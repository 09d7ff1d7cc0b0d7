package org.catkingate.tests.gateway;

import java.lang.management.ManagementFactory;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of many requests on connections that are kept, to callers as well as to runners.
 */
class KeptConnectionTests {

	private static final int WARM_UP_REQUESTS = 1000;

	private static final int REQUESTS = 4000;

	/** Far less than any object that belongs to a request and its body. */
	private static final long MAX_BYTES_LEFT_PER_REQUEST = 200;

	private static final String BODY = "x".repeat(2000);

	private static final String SIGNED = "X-Request-Id: {id}\r\nX-Server-Seal: a.b\r\n";

	private static RawServer.Response response(RawServer.Request request) {
		String id = request.head().split("X-Request-Id: ", 2)[1].split("\r\n", 2)[0];
		String response = id.endsWith("00")
				? "HTTP/1.1 503 Full\r\n" + SIGNED + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
				: "HTTP/1.1 200 OK\r\n" + SIGNED
						+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
						+ "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
		return new RawServer.Response(List.of(response.replace("{id}", id)), RawServer.Ending.KEEP_OPEN, 0);
	}

	private static void request(RawCaller caller, int from, int to) throws Exception {
		for (int i = from; i < to; i++) {
			assertThat(caller.post("r" + i, "/songs/1", BODY).readResponse()).startsWith("HTTP/1.1 ");
		}
	}

	private static long usedBytesAfterCollection() {
		System.gc();
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	// Guards against memory that fills with the number of requests, not with what is in
	// progress, so that a gateway hangs after some thousands of them (CONFIG, LOST).
	@ParameterizedTest
	@EnumSource(names = { "IDEMPOTENT", "STREAM" })
	void leaveNothingOfEarlierRequestsInMemory(CallKind kind) throws Exception {
		try (RawServer runner = RawServer.respondingTo(KeptConnectionTests::response);
				TestGateway gateway = TestGateway.start(kind, runner.address());
				RawCaller caller = gateway.connect()) {
			request(caller, 0, WARM_UP_REQUESTS);
			long before = usedBytesAfterCollection();
			request(caller, WARM_UP_REQUESTS, WARM_UP_REQUESTS + REQUESTS);
			assertThat(usedBytesAfterCollection() - before).isLessThan(MAX_BYTES_LEFT_PER_REQUEST * REQUESTS);
		}
	}

}
