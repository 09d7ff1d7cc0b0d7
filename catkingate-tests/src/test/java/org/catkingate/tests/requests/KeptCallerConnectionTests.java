package org.catkingate.tests.requests;

import java.lang.management.ManagementFactory;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of many requests on one connection of a caller to an entry.
 */
class KeptCallerConnectionTests {

	private static final int UNLIMITED = 1_000_000;

	private static final int WARM_UP_REQUESTS = 500;

	private static final int REQUESTS = 3000;

	/** Less than any request with its headers occupies. */
	private static final long MAX_BYTES_LEFT_PER_REQUEST = 400;

	private final HttpClient client = HttpClient.newHttpClient();

	private void request(LocalFleet fleet, int count) throws Exception {
		for (int i = 0; i < count; i++) {
			assertThat(this.client.send(fleet.completion("x".repeat(1000), 1), HttpResponse.BodyHandlers.discarding())
				.statusCode()).isEqualTo(503);
		}
	}

	private static long usedBytesAfterCollection() {
		System.gc();
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	// Guards against an entry whose heap fills with each request with a body on a
	// connection that is kept.
	@Test
	void leaveNothingOfEarlierRequestsInMemory() throws Exception {
		try (LocalFleet fleet = LocalFleet.start()) {
			fleet.publish(LocalFleet.configuration(LocalFleet.account(UNLIMITED, UNLIMITED, 1_000_000_000), 8, 8));
			request(fleet, WARM_UP_REQUESTS);
			long before = usedBytesAfterCollection();
			request(fleet, REQUESTS);
			assertThat(usedBytesAfterCollection() - before).isLessThan(MAX_BYTES_LEFT_PER_REQUEST * REQUESTS);
		}
	}

}
