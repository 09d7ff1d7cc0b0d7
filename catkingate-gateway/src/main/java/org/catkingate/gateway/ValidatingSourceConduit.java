package org.catkingate.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

import org.catkingate.runtime.http.ChunkedBodyValidator;

/**
 * The source of a caller's connection, in front of the HTTP parser. While a request with
 * a body in chunks is read, it validates the raw bytes, because the parser accepts some
 * that are malformed and closes the connection without a response for others. Bytes that
 * are malformed do not reach the parser. Used by the traffic thread only.
 */
final class ValidatingSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	/** Null while no body in chunks is read. */
	private ChunkedBodyValidator validator;

	private Consumer<ChunkedBodyValidator.Result> onInvalid;

	private ChunkedBodyValidator.Result result = ChunkedBodyValidator.Result.COMPLETE;

	private boolean ended;

	private ValidatingSourceConduit(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Installs a conduit in a connection that has just been accepted.
	 * @param connection the connection, from which nothing has been read
	 */
	static void install(StreamConnection connection) {
		connection.getSourceChannel()
			.setConduit(new ValidatingSourceConduit(connection.getSourceChannel().getConduit()));
	}

	/**
	 * Validates the body of a request in chunks, whose reading has not begun.
	 * @param exchange the exchange of the request
	 * @param maxBodyBytes the maximum length of the body, in bytes
	 * @param onInvalid called at most once, after this method has returned, with
	 * {@code MALFORMED} or {@code TOO_LONG}
	 * @return the result of the bytes that have arrived with the head
	 */
	static ChunkedBodyValidator.Result validateBody(HttpServerExchange exchange, long maxBodyBytes,
			Consumer<ChunkedBodyValidator.Result> onInvalid) {
		AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
		return ((ValidatingSourceConduit) connection.getOriginalSourceConduit()).start(connection.getExtraBytes(),
				maxBodyBytes, onInvalid);
	}

	private ChunkedBodyValidator.Result start(PooledByteBuffer arrived, long maxBodyBytes,
			Consumer<ChunkedBodyValidator.Result> nextOnInvalid) {
		this.validator = new ChunkedBodyValidator(maxBodyBytes);
		this.result = ChunkedBodyValidator.Result.INCOMPLETE;
		this.onInvalid = nextOnInvalid;
		if (arrived != null) {
			validate(arrived.getBuffer().duplicate());
		}
		this.ended = isInvalid();
		return this.result;
	}

	private void validate(ByteBuffer bytes) {
		this.result = this.validator.read(bytes);
		if (this.result != ChunkedBodyValidator.Result.INCOMPLETE) {
			this.validator = null;
		}
	}

	private boolean isInvalid() {
		return this.result == ChunkedBodyValidator.Result.MALFORMED
				|| this.result == ChunkedBodyValidator.Result.TOO_LONG;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		if (isInvalid()) {
			return this.ended ? -1 : 0;
		}
		int start = target.position();
		int count = super.read(target);
		if (count > 0 && this.validator != null) {
			validate(target.duplicate().flip().position(start));
			if (isInvalid()) {
				target.position(start);
				getReadThread().execute(this::handleInvalid);
				return 0;
			}
		}
		return count;
	}

	private void handleInvalid() {
		this.ended = true;
		this.onInvalid.accept(this.result);
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

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return Conduits.transfer(this, count, throughBuffer, target);
	}

}
