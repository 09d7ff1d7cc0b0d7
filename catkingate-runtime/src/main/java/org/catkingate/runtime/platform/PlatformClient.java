package org.catkingate.runtime.platform;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.undertow.client.ClientRequest;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.XnioWorker;

import org.catkingate.model.InstanceRecord;
import org.catkingate.model.published.ConfigurationHead;
import org.catkingate.runtime.http.BufferedHttpClient;
import org.catkingate.runtime.http.IoThreads;

/**
 * An HTTP client of the platform, which reads the configuration service and the list of
 * instances. Every read completes, either with a response or exceptionally with a
 * {@link PlatformException} as the cause. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class PlatformClient implements AutoCloseable {

	private static final int MAX_LIST_BYTES = 8 * 1024 * 1024;

	/**
	 * The timeout for a response, in milliseconds, in addition to the time for which the
	 * platform may wait for a change.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 3500;

	private static final String INDEX_HEADER = "X-Index";

	private final XnioWorker worker;

	private final BufferedHttpClient httpClient;

	private final URI configurationUri;

	private final URI instancesUri;

	private PlatformClient(XnioWorker worker, URI configuration, URI instances) {
		this.worker = worker;
		this.httpClient = BufferedHttpClient.create(worker);
		this.configurationUri = configuration;
		this.instancesUri = instances;
	}

	/**
	 * Creates a client with one I/O thread of its own.
	 * @param configuration the base URI of the configuration service
	 * @param instances the base URI of the list of instances
	 * @return the client, never null
	 * @throws IOException if the thread cannot be started
	 */
	public static PlatformClient create(URI configuration, URI instances) throws IOException {
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(instances, "instances must not be null");
		return new PlatformClient(IoThreads.start("platform", 1), configuration, instances);
	}

	/**
	 * Reads one key of the configuration service.
	 * @param key the key
	 * @param after the last index that was read; 0 for none
	 * @param waitMillis how long the service may wait for a change, in milliseconds
	 * @return the value and its index, empty if the value has not changed since
	 * {@code after}
	 */
	public CompletableFuture<Optional<Indexed<byte[]>>> readValue(String key, long after, long waitMillis) {
		return read(this.configurationUri, "/configuration/" + key, after, waitMillis,
				ConfigurationHead.MAX_VALUE_BYTES);
	}

	/**
	 * Reads the list of instances.
	 * @param after the last index that was read; 0 for none
	 * @param waitMillis how long the platform may wait for a change, in milliseconds
	 * @return the list and its index, empty if the list has not changed since
	 * {@code after}
	 */
	public CompletableFuture<Optional<Indexed<List<InstanceRecord>>>> readInstances(long after, long waitMillis) {
		return read(this.instancesUri, "/instances", after, waitMillis, MAX_LIST_BYTES)
			.thenApply((response) -> response.map(PlatformClient::parse));
	}

	private static Indexed<List<InstanceRecord>> parse(Indexed<byte[]> response) {
		try {
			return InstanceListParser.parse(response.value());
		}
		catch (PlatformException ex) {
			throw new CompletionException(ex);
		}
	}

	private CompletableFuture<Optional<Indexed<byte[]>>> read(URI base, String path, long after, long waitMillis,
			int maxBytes) {
		String query = (after > 0) ? "?after=" + after + "&wait-ms=" + waitMillis : "";
		ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath(path + query);
		return this.httpClient
			.call(base, request, BufferedHttpClient.Body.empty(), maxBytes, waitMillis + RESPONSE_TIMEOUT_MILLIS)
			.handle((response, failure) -> {
				if (failure != null) {
					throw new CompletionException(new PlatformException(PlatformException.Kind.UNREACHABLE,
							base + path + " sent no complete response; check that the platform is running", failure));
				}
				return toIndexed(base + path, response);
			});
	}

	private static Optional<Indexed<byte[]>> toIndexed(String resource, BufferedHttpClient.Response response) {
		if (response.status() == StatusCodes.NOT_MODIFIED) {
			return Optional.empty();
		}
		if (response.status() == StatusCodes.NOT_FOUND) {
			throw failure(PlatformException.Kind.ABSENT, resource + " does not exist; publish it");
		}
		if (response.status() != StatusCodes.OK) {
			throw failure(PlatformException.Kind.REFUSED,
					resource + " responded with status " + response.status() + "; see the platform's log");
		}
		return Optional.of(new Indexed<>(index(resource, response.header(INDEX_HEADER)), response.body()));
	}

	private static long index(String resource, String header) {
		try {
			return (header != null) ? Long.parseLong(header) : 0;
		}
		catch (NumberFormatException ex) {
			throw failure(PlatformException.Kind.MALFORMED, resource + " returned the index '" + header
					+ "'; the header " + INDEX_HEADER + " must be a number");
		}
	}

	private static CompletionException failure(PlatformException.Kind kind, String message) {
		return new CompletionException(new PlatformException(kind, message));
	}

	/**
	 * Stops the I/O thread; reads in progress fail.
	 */
	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	/**
	 * A value and the platform's change index for it. Immutable if the value is.
	 *
	 * @param <T> the type of the value
	 * @param index the index, 0 if the platform sent none
	 * @param value the value
	 */
	public record Indexed<T>(long index, T value) {

	}

}
