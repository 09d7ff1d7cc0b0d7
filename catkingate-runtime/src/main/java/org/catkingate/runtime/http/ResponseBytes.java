package org.catkingate.runtime.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The bytes of the responses on one connection, as they are received. The HTTP client
 * accepts chunks that are malformed: it takes the head of another response in the middle
 * of a body for the end of that body. Here such a body fails. Bytes behind the end of a
 * response, which belong to no request, are noticed, so that the connection is not used
 * again. Used by the I/O thread of the connection only, except for {@link #isAtEnd()}.
 */
final class ResponseBytes {

	private static final AttachmentKey<ResponseBytes> KEY = AttachmentKey.create(ResponseBytes.class);

	/** The HTTP client skips such interim responses. */
	private static final String START_OF_SKIPPED_HEAD = "HTTP/1.1 100";

	private volatile Phase phase = Phase.IDLE;

	/** The bytes of the current line of the head, without its end. */
	private int lineBytes;

	private final StringBuilder startOfHead = new StringBuilder();

	/** What has arrived of the body before the head was parsed. */
	private final ByteArrayOutputStream early = new ByteArrayOutputStream();

	private BodyEnd bodyEnd = BodyEnd.NONE;

	private volatile boolean surplus;

	/**
	 * Returns the bytes of a connection.
	 * @param connection a connection that {@link LimitedConnections} has opened
	 * @return the bytes
	 */
	static ResponseBytes of(ClientConnection connection) {
		return ((Attachable) connection).getAttachment(KEY);
	}

	void attachTo(ClientConnection connection) {
		((Attachable) connection).putAttachment(KEY, this);
	}

	void install(StreamConnection connection) {
		connection.getSourceChannel().setConduit(new ObservedConduit(connection.getSourceChannel().getConduit()));
	}

	/**
	 * Expects the head of the response to the next request.
	 */
	void expectHead() {
		this.phase = Phase.HEAD;
		this.lineBytes = 0;
		this.startOfHead.setLength(0);
		this.early.reset();
	}

	/**
	 * Expects the body of the response whose head has been parsed.
	 * @param request the request
	 * @param response the status and the headers of an unambiguous response
	 * @throws IOException if the part of the body that has arrived is malformed
	 */
	void expectBody(ClientRequest request, ClientResponse response) throws IOException {
		this.phase = Phase.BODY;
		this.bodyEnd = BodyEnd.of(request, response);
		ByteBuffer arrived = ByteBuffer.wrap(this.early.toByteArray());
		this.early.reset();
		readBody(arrived);
	}

	/**
	 * Returns whether the end of the response has been received.
	 * @return whether a response with a length or in chunks is complete
	 */
	boolean isEnded() {
		return this.phase == Phase.IDLE;
	}

	/**
	 * Returns whether the response has ended and nothing has followed it. May be called
	 * by any thread.
	 * @return whether the connection can carry another request
	 */
	boolean isAtEnd() {
		return isEnded() && !this.surplus;
	}

	private void read(ByteBuffer bytes) throws IOException {
		while (this.phase == Phase.HEAD && bytes.hasRemaining()) {
			readHead(bytes.get());
		}
		if (!bytes.hasRemaining()) {
			return;
		}
		switch (this.phase) {
			case HEAD_ENDED -> {
				byte[] arrived = new byte[bytes.remaining()];
				bytes.get(arrived);
				this.early.writeBytes(arrived);
			}
			case BODY -> readBody(bytes);
			default -> {
				this.surplus = true;
			}
		}
	}

	private void readHead(byte next) {
		if (next == '\n') {
			if (this.lineBytes == 0 && !this.startOfHead.isEmpty()) {
				endHead();
			}
			this.lineBytes = 0;
		}
		else if (next != '\r') {
			this.lineBytes++;
			if (this.startOfHead.length() < START_OF_SKIPPED_HEAD.length()) {
				this.startOfHead.append((char) next);
			}
		}
	}

	private void endHead() {
		boolean skipped = this.startOfHead.toString().equals(START_OF_SKIPPED_HEAD);
		expectHead();
		this.phase = skipped ? Phase.HEAD : Phase.HEAD_ENDED;
	}

	private void readBody(ByteBuffer bytes) throws IOException {
		if (this.bodyEnd.isReached(bytes)) {
			this.phase = Phase.IDLE;
			this.surplus = this.surplus || bytes.hasRemaining();
		}
	}

	private enum Phase {

		IDLE, HEAD, HEAD_ENDED, BODY

	}

	/**
	 * Finds the end of a body.
	 */
	@FunctionalInterface
	private interface BodyEnd {

		/** The end of a response without a body. */
		BodyEnd NONE = (bytes) -> true;

		/** The end of a body that ends with its connection. */
		BodyEnd OF_CONNECTION = (bytes) -> {
			bytes.position(bytes.limit());
			return false;
		};

		/**
		 * Reads bytes up to the end of the body and leaves those behind it.
		 * @param bytes the next bytes
		 * @return whether the body has ended
		 * @throws IOException if the bytes are malformed
		 */
		boolean isReached(ByteBuffer bytes) throws IOException;

		static BodyEnd of(ClientRequest request, ClientResponse response) {
			if (ResponseFraming.isBodiless(request, response)) {
				return NONE;
			}
			if (response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)) {
				return ofChunks(new ChunkedBodyValidator(Long.MAX_VALUE));
			}
			String length = response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
			return (length != null) ? new FixedLength(Long.parseLong(length)) : OF_CONNECTION;
		}

		private static BodyEnd ofChunks(ChunkedBodyValidator validator) {
			return (bytes) -> {
				ChunkedBodyValidator.Result result = validator.read(bytes);
				if (result == ChunkedBodyValidator.Result.MALFORMED) {
					throw new IOException("the body of the response is not in well-formed chunks");
				}
				return result == ChunkedBodyValidator.Result.COMPLETE;
			};
		}

	}

	/**
	 * The end of a body whose length is stated.
	 */
	private static final class FixedLength implements BodyEnd {

		private long remainingBytes;

		private FixedLength(long length) {
			this.remainingBytes = length;
		}

		@Override
		public boolean isReached(ByteBuffer bytes) {
			int count = (int) Math.min(bytes.remaining(), this.remainingBytes);
			bytes.position(bytes.position() + count);
			this.remainingBytes -= count;
			return this.remainingBytes == 0;
		}

	}

	/**
	 * A conduit that shows the bytes that are read.
	 */
	private final class ObservedConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

		private ObservedConduit(StreamSourceConduit next) {
			super(next);
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			int start = target.position();
			int count = super.read(target);
			if (count > 0) {
				observe(target, start);
			}
			return count;
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			for (int i = offset; i < offset + length; i++) {
				if (targets[i].hasRemaining()) {
					return read(targets[i]);
				}
			}
			return 0;
		}

		private void observe(ByteBuffer target, int start) throws IOException {
			ResponseBytes.this.read(target.duplicate().flip().position(start));
		}

	}

}
