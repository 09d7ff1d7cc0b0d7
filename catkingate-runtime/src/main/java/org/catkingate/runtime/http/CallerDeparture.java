package org.catkingate.runtime.http;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices when a caller closes its connection while its answer is awaited. The server
 * itself reads nothing between a request's last byte and the answer's end, so this takes
 * its place at the connection; the server puts itself back when the exchange ends. Used
 * on the connection's I/O thread only.
 *
 * @since 0.1
 */
public final class CallerDeparture {

	private final AbstractServerConnection connection;

	private final Runnable onDisconnect;

	private CallerDeparture(AbstractServerConnection connection, Runnable departed) {
		this.connection = connection;
		this.onDisconnect = departed;
	}

	/**
	 * Starts watching, if the request has been read whole.
	 * @param exchange the exchange
	 * @param departed is run when the caller has closed its side
	 */
	public static void watch(HttpServerExchange exchange, Runnable departed) {
		if (exchange.getConnection() instanceof AbstractServerConnection connection
				&& connection.getExtraBytes() == null) {
			new CallerDeparture(connection, departed).start();
		}
	}

	private void start() {
		ConduitStreamSourceChannel source = this.connection.getChannel().getSourceChannel();
		source.setConduit(this.connection.getOriginalSourceConduit());
		source.setReadListener(this::onReadable);
		source.resumeReads();
	}

	private void onReadable(ConduitStreamSourceChannel source) {
		PooledByteBuffer buffer = this.connection.getByteBufferPool().allocate();
		try {
			int count = source.read(buffer.getBuffer());
			if (count > 0) {
				keepNextRequest(source, buffer);
				return;
			}
			buffer.close();
			if (count < 0) {
				source.suspendReads();
				this.onDisconnect.run();
			}
		}
		catch (IOException ex) {
			buffer.close();
			source.suspendReads();
			this.onDisconnect.run();
		}
	}

	private void keepNextRequest(ConduitStreamSourceChannel source, PooledByteBuffer buffer) {
		buffer.getBuffer().flip();
		this.connection.setExtraBytes(buffer);
		source.suspendReads();
	}

}
