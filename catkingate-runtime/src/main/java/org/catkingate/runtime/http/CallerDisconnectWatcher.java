package org.catkingate.runtime.http;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while its response is pending. The server
 * itself reads nothing between the last byte of a request and the end of the response, so
 * this class takes over reading from the connection; the server takes it back when the
 * exchange ends. For use on the connection's I/O thread only.
 *
 * @since 0.1
 */
public final class CallerDisconnectWatcher {

	private final AbstractServerConnection connection;

	private final Runnable onDisconnect;

	private CallerDisconnectWatcher(AbstractServerConnection connection, Runnable onDisconnect) {
		this.connection = connection;
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Starts to watch the connection of an exchange, but only if the request has been
	 * read completely and no bytes received over the connection are left to process.
	 * @param exchange the exchange
	 * @param onDisconnect runs when the caller has closed its side of the connection
	 */
	public static void watch(HttpServerExchange exchange, Runnable onDisconnect) {
		if (exchange.getConnection() instanceof AbstractServerConnection connection
				&& connection.getExtraBytes() == null) {
			new CallerDisconnectWatcher(connection, onDisconnect).start();
		}
	}

	/**
	 * Starts to watch like {@link #watch}, and notices a connection that has been closed
	 * already. A process that starts or is overloaded may read a request after its caller
	 * has left.
	 * @param exchange the exchange
	 * @param onDisconnect runs when the caller has closed its side of the connection,
	 * possibly before this method returns
	 */
	public static void watchAndCheck(HttpServerExchange exchange, Runnable onDisconnect) {
		if (exchange.getConnection() instanceof AbstractServerConnection connection
				&& connection.getExtraBytes() == null) {
			CallerDisconnectWatcher watcher = new CallerDisconnectWatcher(connection, onDisconnect);
			watcher.start();
			watcher.onReadable(connection.getChannel().getSourceChannel());
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
