package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A limit on the bytes that a connection may receive without progress of the response: a
 * head that does not end, or a body whose encoding yields no data. The HTTP client has no
 * such limit of its own. A connection that exceeds it fails. Used by the I/O thread of
 * the connection only.
 */
final class ReceiveLimit {

	/** The maximum length of the head of a response, including interim responses. */
	static final int MAX_HEAD_BYTES = 64 * 1024;

	/**
	 * The maximum number of bytes that are received for one part of a body. It exceeds
	 * the buffers, so that only encoding without data, such as endless chunk extensions
	 * or trailers, can reach it.
	 */
	static final int MAX_BYTES_WITHOUT_DATA = 128 * 1024;

	private static final AttachmentKey<ReceiveLimit> KEY = AttachmentKey.create(ReceiveLimit.class);

	private long remainingBytes = Long.MAX_VALUE;

	private String limitedPart = "";

	/**
	 * Returns the limit of a connection.
	 * @param connection a connection that {@link LimitedConnections} has opened
	 * @return the limit
	 */
	static ReceiveLimit of(ClientConnection connection) {
		return ((Attachable) connection).getAttachment(KEY);
	}

	void attachTo(ClientConnection connection) {
		((Attachable) connection).putAttachment(KEY, this);
	}

	void install(StreamConnection connection) {
		connection.getSourceChannel().setConduit(new LimitedConduit(connection.getSourceChannel().getConduit()));
	}

	/**
	 * Starts to count the bytes of the head of a response.
	 */
	void expectHead() {
		this.remainingBytes = MAX_HEAD_BYTES;
		this.limitedPart = "head of the response is longer than " + MAX_HEAD_BYTES;
	}

	/**
	 * Starts to count the bytes of the next part of a body.
	 */
	void expectData() {
		this.remainingBytes = MAX_BYTES_WITHOUT_DATA;
		this.limitedPart = "body of the response has no data in " + MAX_BYTES_WITHOUT_DATA;
	}

	private void count(long bytes) throws IOException {
		this.remainingBytes -= Math.max(0, bytes);
		if (this.remainingBytes < 0) {
			throw new IOException("the " + this.limitedPart + " bytes");
		}
	}

	/**
	 * A conduit that counts the bytes that are read.
	 */
	private final class LimitedConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

		private LimitedConduit(StreamSourceConduit next) {
			super(next);
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			int bytes = super.read(target);
			count(bytes);
			return bytes;
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			long bytes = super.read(targets, offset, length);
			count(bytes);
			return bytes;
		}

	}

}
