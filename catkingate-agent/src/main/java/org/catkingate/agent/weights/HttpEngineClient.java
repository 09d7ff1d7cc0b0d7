package org.catkingate.agent.weights;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.VersionId;
import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * Client that commands an engine over HTTP. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class HttpEngineClient implements EngineClient {

	private static final int MAX_RESPONSE_BYTES = 64 * 1024;

	private static final long STATE_TIMEOUT_MILLIS = 2000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final BufferedHttpClient client;

	private final URI base;

	private final long loadTimeoutMillis;

	private HttpEngineClient(XnioWorker worker, URI base, long loadTimeoutMillis) {
		this.client = BufferedHttpClient.create(worker);
		this.base = base;
		this.loadTimeoutMillis = loadTimeoutMillis;
	}

	/**
	 * Creates a client.
	 * @param worker its I/O threads
	 * @param base the engine's address, such as {@code http://127.0.0.1:9001}
	 * @param loadTimeoutMillis the timeout of a load command, in milliseconds
	 * @return the client, never null
	 */
	public static HttpEngineClient of(XnioWorker worker, URI base, long loadTimeoutMillis) {
		return new HttpEngineClient(worker, base, loadTimeoutMillis);
	}

	@Override
	public CompletableFuture<EngineState> requestState() {
		ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/engine/state");
		return call(request, BufferedHttpClient.Body.empty(), STATE_TIMEOUT_MILLIS);
	}

	@Override
	public CompletableFuture<EngineState> load(Manifest manifest, long fence, ChunkContent content) {
		VersionId id = manifest.version();
		ClientRequest request = new ClientRequest().setMethod(Methods.PUT)
			.setPath("/engine/weights?model=" + id.model() + "&version=" + id.version() + "&fence=" + fence);
		request.getRequestHeaders().put(Headers.CONTENT_LENGTH, manifest.totalBytes());
		return call(request, new WeightsBody(manifest, content)::write, this.loadTimeoutMillis);
	}

	private CompletableFuture<EngineState> call(ClientRequest request, BufferedHttpClient.Body body,
			long timeoutMillis) {
		CompletableFuture<EngineState> result = new CompletableFuture<>();
		this.client.call(this.base, request, body, MAX_RESPONSE_BYTES, timeoutMillis).whenComplete((response, ex) -> {
			try {
				result.complete(parse(response, ex));
			}
			catch (WeightsException failure) {
				result.completeExceptionally(failure);
			}
		});
		return result;
	}

	private EngineState parse(BufferedHttpClient.Response response, Throwable ex) throws WeightsException {
		if (ex != null) {
			throw unavailable(ex.getMessage(), ex);
		}
		if (response.status() == StatusCodes.CONFLICT) {
			throw new WeightsException(WeightsException.Kind.FENCED,
					this.base + " has accepted a higher fencing number; a newer agent controls the engine");
		}
		if (response.status() != StatusCodes.OK) {
			throw unavailable("status " + response.status(), null);
		}
		try {
			return MAPPER.readValue(response.body(), Form.class).toState();
		}
		catch (IOException | IllegalArgumentException invalid) {
			throw unavailable(invalid.getMessage(), invalid);
		}
	}

	private WeightsException unavailable(String problem, Throwable cause) {
		return new WeightsException(WeightsException.Kind.UNAVAILABLE,
				"engine " + this.base + " sent no valid response (" + problem + "); check the engine", cause);
	}

	@JsonIgnoreProperties(ignoreUnknown = true)
	private record Form(String model, String version, String digest, Long fence, int running, int waiting) {

		private EngineState toState() {
			VersionId id = (this.model != null && this.version != null) ? VersionId.of(this.model, this.version) : null;
			Digest loaded = (this.digest != null) ? new Digest(this.digest) : null;
			return new EngineState(id, loaded, (this.fence != null) ? this.fence : 0, this.running, this.waiting);
		}

	}

	/**
	 * Request body that streams the chunks of one load command. Used by one I/O thread.
	 */
	private static final class WeightsBody {

		private static final int SLICE_BYTES = 256 * 1024;

		private final Manifest manifest;

		private final ChunkContent content;

		private ByteBuffer slice = ByteBuffer.allocate(0);

		private int index;

		private int offset;

		private WeightsBody(Manifest manifest, ChunkContent content) {
			this.manifest = manifest;
			this.content = content;
		}

		private void write(StreamSinkChannel channel, Consumer<Exception> failed) {
			channel.getWriteSetter().set((sink) -> writeMore(sink, failed));
			writeMore(channel, failed);
		}

		private void writeMore(StreamSinkChannel channel, Consumer<Exception> failed) {
			try {
				while (prepareSlice()) {
					if (channel.write(this.slice) == 0) {
						channel.resumeWrites();
						return;
					}
				}
				channel.suspendWrites();
				BufferedHttpClient.Body.empty().write(channel, failed);
			}
			catch (IOException | WeightsException ex) {
				failed.accept(ex);
			}
		}

		/**
		 * Reads the next slice if the current one is written completely.
		 * @return whether there are bytes to write
		 * @throws WeightsException if the chunk is no longer in memory
		 */
		private boolean prepareSlice() throws WeightsException {
			if (this.slice.hasRemaining()) {
				return true;
			}
			if (this.index >= this.manifest.chunks().size()) {
				return false;
			}
			int size = this.manifest.sizeOf(this.index);
			int length = Math.min(SLICE_BYTES, size - this.offset);
			this.slice = ByteBuffer.wrap(this.content.read(this.index, this.offset, length));
			this.offset += length;
			if (this.offset >= size) {
				this.index++;
				this.offset = 0;
			}
			return true;
		}

	}

}
