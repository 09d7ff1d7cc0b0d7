package org.catkingate.tests.harness;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;

/**
 * A client that sends requests to one entry with the API key of one client account. Safe
 * for use by any thread.
 */
public final class Caller {

	private static final Duration TIMEOUT = Duration.ofSeconds(70);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	private final InetSocketAddress entry;

	private final String apiKey;

	private Caller(InetSocketAddress entry, String apiKey) {
		this.entry = entry;
		this.apiKey = apiKey;
	}

	public static Caller of(Member entry, String apiKey) {
		return new Caller(entry.address(), apiKey);
	}

	public CompletableFuture<Response> requestCompletion(String prompt, int tokens) {
		return send(completionRequest(prompt, tokens).build());
	}

	public CompletableFuture<Response> purchase(String idempotencyKey, String item) {
		return send(request("/purchases").header("Idempotency-Key", idempotencyKey)
			.POST(HttpRequest.BodyPublishers.ofString(item))
			.build());
	}

	/**
	 * Requests an idempotency key that binds a purchase to one agent.
	 */
	public CompletableFuture<Optional<String>> requestIdempotencyKey() {
		HttpRequest request = request("/catkingate/idempotency-keys?service=shop")
			.POST(HttpRequest.BodyPublishers.noBody())
			.build();
		return send(request).thenApply((response) -> response.isSuccessful()
				? Optional.of(parseIdempotencyKey(response.body())) : Optional.empty());
	}

	private static String parseIdempotencyKey(String body) {
		try {
			return HttpService.JSON.readTree(body).get("key").asText();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("response is not JSON: " + body, ex);
		}
	}

	public CompletableFuture<Response> lookUp(String name) {
		return get("/lookups/" + name);
	}

	public CompletableFuture<Response> get(String path) {
		return send(request(path).build());
	}

	/**
	 * Requests a streamed response and closes the connection after its first byte.
	 */
	public void abandonCompletion(String prompt, int tokens) throws IOException, InterruptedException {
		HttpResponse<InputStream> response = this.client.send(completionRequest(prompt, tokens).build(),
				HttpResponse.BodyHandlers.ofInputStream());
		try (InputStream body = response.body()) {
			body.read();
		}
	}

	private HttpRequest.Builder completionRequest(String prompt, int tokens) {
		String body = HttpService.JSON.createObjectNode()
			.put("model", "lyrics")
			.put("prompt", prompt)
			.put("max_tokens", tokens)
			.put("stream", true)
			.toString();
		return request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body));
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://" + Addresses.format(this.entry) + path))
			.header("Authorization", "Bearer " + this.apiKey)
			.timeout(TIMEOUT);
	}

	private CompletableFuture<Response> send(HttpRequest request) {
		long start = System.nanoTime();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).handle((response, failure) -> {
			long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			return (failure != null) ? Response.failed(cause(failure), millis) : Response.of(response, millis);
		});
	}

	private static IOException cause(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof IOException ioException) ? ioException : new IOException(cause);
	}

}
