package org.catkingate.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The source of a caller's connection, in front of the HTTP parser. While a request with
 * a body in chunks is read, it validates the raw bytes, because the parser accepts some
 * that are malformed and closes the connection without a response for others. Bytes that
 * are malformed do not reach the parser. Used by the traffic thread only.
 */
final class ValidatingSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	/** Null while no body in chunks is read. */
	private ChunkedBodyValidator validator;

	private Runnable onMalformed;

	private boolean malformed;

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
	 * @param onMalformed called at most once, after this method has returned
	 * @return whether the bytes that have arrived with the head are valid
	 */
	static boolean validateBody(HttpServerExchange exchange, Runnable onMalformed) {
		AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
		return ((ValidatingSourceConduit) connection.getOriginalSourceConduit()).start(connection.getExtraBytes(),
				onMalformed);
	}

	private boolean start(PooledByteBuffer arrived, Runnable nextOnMalformed) {
		this.validator = new ChunkedBodyValidator();
		this.onMalformed = nextOnMalformed;
		if (arrived != null) {
			validate(arrived.getBuffer().duplicate());
		}
		this.ended = this.malformed;
		return !this.malformed;
	}

	private void validate(ByteBuffer bytes) {
		ChunkedBodyValidator.Result result = this.validator.read(bytes);
		if (result != ChunkedBodyValidator.Result.INCOMPLETE) {
			this.validator = null;
		}
		this.malformed = result == ChunkedBodyValidator.Result.MALFORMED;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		if (this.malformed) {
			return this.ended ? -1 : 0;
		}
		int start = target.position();
		int count = super.read(target);
		if (count > 0 && this.validator != null) {
			validate(target.duplicate().flip().position(start));
			if (this.malformed) {
				target.position(start);
				getReadThread().execute(this::handleMalformed);
				return 0;
			}
		}
		return count;
	}

	private void handleMalformed() {
		this.ended = true;
		this.onMalformed.run();
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
