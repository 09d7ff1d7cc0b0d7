package org.catkingate.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandInClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link Platform}.
 */
class PlatformTests {

	private final Platform platform = Platform.start();

	@AfterEach
	void close() {
		this.platform.close();
	}

	private HttpResponse<String> getHead(String query) throws Exception {
		return StandInClient.get(this.platform, "/configuration/head" + query);
	}

	private long publish(long revision) {
		return this.platform.publish(Publication.of(revision, List.of("[data-centre a]\nregion = r\n")));
	}

	@Nested
	class Watches {

		@Test
		void respondWhenTheValueChanges() {
			long index = publish(1);
			CompletableFuture<String> watch = CompletableFuture.supplyAsync(() -> {
				try {
					return getHead("?wait-ms=20000&after=" + index).body();
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			Awaitility.await().until(() -> PlatformTests.this.platform.callCounts().get("waiting").asInt() == 1);
			publish(2);
			assertThat(watch.join()).contains("revision = 2");
		}

		@Test
		void endWithNotModifiedWhenNothingChanges() throws Exception {
			long index = publish(1);
			assertThat(getHead("?wait-ms=1&after=" + index).statusCode()).isEqualTo(304);
		}

	}

	@Nested
	class Faults {

		@Test
		void serveIndexServesAnOlderValue() throws Exception {
			long oldIndex = publish(1);
			publish(2);
			PlatformTests.this.platform.configure("--serve-index", Long.toString(oldIndex));
			HttpResponse<String> response = getHead("");
			assertThat(response.body()).contains("revision = 1");
			assertThat(response.headers().firstValueAsLong("X-Index")).hasValue(oldIndex);
		}

		@Test
		void halfValueIsSentAsACompleteResponse() throws Exception {
			publish(1);
			String complete = getHead("").body();
			PlatformTests.this.platform.configure("--half-value", "true");
			assertThat(getHead("").body()).isEqualTo(complete.substring(0, complete.length() / 2));
		}

		@Test
		void downClosesConnectionsWithoutAResponse() {
			publish(1);
			PlatformTests.this.platform.configure("--down", "true");
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> getHead(""));
		}

	}

	@Nested
	class Instances {

		@Test
		void areListedAfterTheConfiguredLag() throws Exception {
			PlatformTests.this.platform.configure("--instances-lag-ms", "3600000");
			PlatformTests.this.platform.putInstance(HttpService.JSON.createObjectNode().put("id", "a1"));
			assertThat(StandInClient.get(PlatformTests.this.platform, "/instances").body()).doesNotContain("a1");
			PlatformTests.this.platform.configure("--instances-lag-ms", "0");
			assertThat(StandInClient.get(PlatformTests.this.platform, "/instances").body()).contains("a1");
		}

	}

}
