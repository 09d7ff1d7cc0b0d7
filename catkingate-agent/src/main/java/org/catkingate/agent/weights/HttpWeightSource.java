package org.catkingate.agent.weights;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.XnioWorker;

import org.catkingate.model.VersionId;
import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * Source that reads an origin or a weight store over HTTP. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class HttpWeightSource implements WeightSource {

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	private static final long MAX_RETRY_AFTER_SECONDS = 3600;

	private final BufferedHttpClient client;

	private final URI base;

	private final TokenBucket rateLimit;

	private final XnioWorker worker;

	private final long timeoutMillis;

	private HttpWeightSource(XnioWorker worker, URI base, TokenBucket rateLimit, long timeoutMillis) {
		this.worker = worker;
		this.client = BufferedHttpClient.create(worker);
		this.base = base;
		this.rateLimit = rateLimit;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a source.
	 * @param worker its I/O threads
	 * @param base the address, such as {@code http://127.0.0.1:7300}
	 * @param rateLimit limits the rate of the bytes that this process requests
	 * @param timeoutMillis the timeout of one response, in milliseconds
	 * @return the source, never null
	 */
	public static HttpWeightSource of(XnioWorker worker, URI base, TokenBucket rateLimit, long timeoutMillis) {
		return new HttpWeightSource(worker, base, rateLimit, timeoutMillis);
	}

	@Override
	public CompletableFuture<byte[]> readManifest(VersionId version) {
		ClientRequest request = request(version, "manifest");
		return get(request, ManifestJson.MAX_BYTES).thenApply(BufferedHttpClient.Response::body);
	}

	@Override
	public CompletableFuture<byte[]> readData(VersionId version, long start, int length) {
		ClientRequest request = request(version, "data");
		request.getRequestHeaders().put(Headers.RANGE, "bytes=" + start + "-" + (start + length - 1));
		CompletableFuture<byte[]> result = new CompletableFuture<>();
		Runnable task = () -> get(request, length)
			.whenComplete((response, ex) -> complete(result, response, ex, length));
		long delay = this.rateLimit.take(length);
		if (delay > 0) {
			this.worker.getIoThread().executeAfter(task, delay, TimeUnit.MILLISECONDS);
		}
		else {
			task.run();
		}
		return result;
	}

	private static ClientRequest request(VersionId version, String resource) {
		return new ClientRequest().setMethod(Methods.GET)
			.setPath("/weights/" + version.model() + "/" + version.version() + "/" + resource);
	}

	private void complete(CompletableFuture<byte[]> result, BufferedHttpClient.Response response, Throwable ex,
			int length) {
		if (ex != null) {
			result.completeExceptionally(ex);
		}
		else if (response.body().length != length) {
			result
				.completeExceptionally(unavailable("received " + response.body().length + " bytes of " + length, null));
		}
		else {
			result.complete(response.body());
		}
	}

	private CompletableFuture<BufferedHttpClient.Response> get(ClientRequest request, int maxBytes) {
		CompletableFuture<BufferedHttpClient.Response> result = new CompletableFuture<>();
		this.client.call(this.base, request, BufferedHttpClient.Body.empty(), maxBytes, this.timeoutMillis)
			.whenComplete((response, ex) -> {
				WeightsException failure = (ex != null) ? unavailable(ex.getMessage(), ex) : toFailure(response);
				if (failure != null) {
					result.completeExceptionally(failure);
				}
				else {
					result.complete(response);
				}
			});
		return result;
	}

	private WeightsException toFailure(BufferedHttpClient.Response response) {
		return switch (response.status()) {
			case StatusCodes.OK, StatusCodes.PARTIAL_CONTENT -> null;
			case StatusCodes.NOT_FOUND -> new WeightsException(WeightsException.Kind.NOT_FOUND,
					this.base + " does not have the version; publish it there before it is configured");
			case StatusCodes.TOO_MANY_REQUESTS,
					StatusCodes.SERVICE_UNAVAILABLE ->
				new WeightsException(WeightsException.Kind.RATE_LIMITED,
						this.base + " is overloaded or limits its rate; the request must be retried later",
						retryAfterMillis(response.header(Headers.RETRY_AFTER_STRING)), null);
			default -> unavailable("status " + response.status(), null);
		};
	}

	private static long retryAfterMillis(String header) {
		try {
			long seconds = Math.min(MAX_RETRY_AFTER_SECONDS, Long.parseLong(String.valueOf(header)));
			return Math.max(DEFAULT_RETRY_AFTER_MILLIS, TimeUnit.SECONDS.toMillis(seconds));
		}
		catch (NumberFormatException ex) {
			return DEFAULT_RETRY_AFTER_MILLIS;
		}
	}

	private WeightsException unavailable(String problem, Throwable cause) {
		return new WeightsException(WeightsException.Kind.UNAVAILABLE,
				this.base + " sent no complete response (" + problem + "); check the source and the network to it",
				cause);
	}

}
