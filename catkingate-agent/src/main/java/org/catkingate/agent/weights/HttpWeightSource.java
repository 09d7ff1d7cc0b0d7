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
import org.catkingate.runtime.http.HttpCalls;

/**
 * Reads an origin or a weight store over HTTP. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class HttpWeightSource implements WeightSource {

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	private static final long MAX_RETRY_AFTER_SECONDS = 3600;

	private final HttpCalls calls;

	private final URI base;

	private final TokenBucket rateLimit;

	private final XnioWorker worker;

	private final long timeoutMillis;

	private HttpWeightSource(XnioWorker worker, URI base, TokenBucket budget, long timeoutMillis) {
		this.worker = worker;
		this.calls = HttpCalls.on(worker);
		this.base = base;
		this.rateLimit = budget;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Makes a source.
	 * @param worker its I/O threads
	 * @param base the address, such as {@code http://127.0.0.1:7300}
	 * @param budget paces the bytes that this process asks for
	 * @param timeoutMillis the longest wait for one answer, in milliseconds
	 * @return the source, never null
	 */
	public static HttpWeightSource of(XnioWorker worker, URI base, TokenBucket budget, long timeoutMillis) {
		return new HttpWeightSource(worker, base, budget, timeoutMillis);
	}

	@Override
	public CompletableFuture<byte[]> manifest(VersionId version) {
		ClientRequest request = request(version, "manifest");
		return get(request, ManifestJson.MAX_BYTES).thenApply(HttpCalls.Answer::body);
	}

	@Override
	public CompletableFuture<byte[]> read(VersionId version, long start, int length) {
		ClientRequest request = request(version, "data");
		request.getRequestHeaders().put(Headers.RANGE, "bytes=" + start + "-" + (start + length - 1));
		CompletableFuture<byte[]> result = new CompletableFuture<>();
		Runnable task = () -> get(request, length).whenComplete((answer, ex) -> complete(result, answer, ex, length));
		long delay = this.rateLimit.take(length);
		if (delay > 0) {
			this.worker.getIoThread().executeAfter(task, delay, TimeUnit.MILLISECONDS);
		}
		else {
			task.run();
		}
		return result;
	}

	private static ClientRequest request(VersionId version, String what) {
		return new ClientRequest().setMethod(Methods.GET)
			.setPath("/weights/" + version.model() + "/" + version.version() + "/" + what);
	}

	private void complete(CompletableFuture<byte[]> result, HttpCalls.Answer answer, Throwable ex, int length) {
		if (ex != null) {
			result.completeExceptionally(ex);
		}
		else if (answer.body().length != length) {
			result.completeExceptionally(unavailable("it sent " + answer.body().length + " bytes of " + length, null));
		}
		else {
			result.complete(answer.body());
		}
	}

	private CompletableFuture<HttpCalls.Answer> get(ClientRequest request, int maximumBytes) {
		CompletableFuture<HttpCalls.Answer> result = new CompletableFuture<>();
		this.calls.call(this.base, request, HttpCalls.Body.none(), maximumBytes, this.timeoutMillis)
			.whenComplete((answer, ex) -> {
				WeightsException failure = (ex != null) ? unavailable(ex.getMessage(), ex) : failure(answer);
				if (failure != null) {
					result.completeExceptionally(failure);
				}
				else {
					result.complete(answer);
				}
			});
		return result;
	}

	private WeightsException failure(HttpCalls.Answer answer) {
		return switch (answer.status()) {
			case StatusCodes.OK, StatusCodes.PARTIAL_CONTENT -> null;
			case StatusCodes.NOT_FOUND -> new WeightsException(WeightsException.Kind.NOT_FOUND,
					this.base + " does not know the version; publish it there before it is configured");
			case StatusCodes.TOO_MANY_REQUESTS, StatusCodes.SERVICE_UNAVAILABLE ->
				new WeightsException(WeightsException.Kind.RATE_LIMITED, this.base + " asks to come back later",
						retryAfterMillis(answer.header(Headers.RETRY_AFTER_STRING)), null);
			default -> unavailable("status " + answer.status(), null);
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

	private WeightsException unavailable(String what, Throwable cause) {
		return new WeightsException(WeightsException.Kind.UNAVAILABLE,
				this.base + " gave no whole answer (" + what + "); check the source and the link to it", cause);
	}

}
