package org.catkingate.runtime.operators;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OperatorsEndpoint}.
 */
class OperatorsEndpointTests {

	private final Readiness readiness = Readiness.starting();

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private OperatorsEndpoint endpoint;

	@BeforeEach
	void start() {
		InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.endpoint = OperatorsEndpoint.start(List.of(anyPort), this.readiness, this.metrics,
				() -> new State(Map.of("b", 1)));
	}

	@AfterEach
	void stop() {
		this.endpoint.close();
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + this.endpoint.address().getPort() + path);
		return HttpClient.newHttpClient()
			.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
	}

	@Test
	void metricsAreInTheTextFormat() throws Exception {
		Counter.builder().name("requests").help("Requests").register(OperatorsEndpointTests.this.metrics).inc(3);
		assertThat(get("/metrics").body()).contains("requests_total 3.0");
	}

	@Test
	void stateIsJson() throws Exception {
		assertThat(get("/state").body()).isEqualTo("{\n  \"peers\" : {\n    \"b\" : 1\n  }\n}\n");
	}

	@Test
	void otherPathsGetAListOfTheValidOnes() throws Exception {
		assertThat(get("/").body()).isEqualTo("ask for /healthz, /readyz, /metrics or /state\n");
	}

	@Nested
	class ReadinessCheck {

		@Test
		void failsBeforeTheProcessIsReady() throws Exception {
			assertThat(get("/readyz").statusCode()).isEqualTo(503);
		}

		@Test
		void passesOnceTheProcessIsReady() throws Exception {
			OperatorsEndpointTests.this.readiness.markReady();
			assertThat(get("/readyz").statusCode()).isEqualTo(200);
		}

		@Test
		void failsPermanentlyOnceTheProcessIsStopping() throws Exception {
			OperatorsEndpointTests.this.readiness.markStopping();
			OperatorsEndpointTests.this.readiness.markReady();
			assertThat(get("/readyz").body()).isEqualTo("stopping\n");
		}

	}

	private record State(Map<String, Integer> peers) {

	}

}
