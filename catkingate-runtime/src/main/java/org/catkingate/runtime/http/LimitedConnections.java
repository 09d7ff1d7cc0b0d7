package org.catkingate.runtime.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Opens HTTP connections that have a {@link ReceiveLimit} and whose {@link ResponseBytes}
 * are validated. Stateless and safe for use by any thread.
 */
final class LimitedConnections {

	private LimitedConnections() {
	}

	/**
	 * Opens a connection.
	 * @param uri the scheme, host and port
	 * @param worker the I/O threads
	 * @param buffers the pool of I/O buffers
	 * @param options the options of the connection
	 * @param callback receives the connection or the failure
	 */
	static void open(URI uri, XnioWorker worker, ByteBufferPool buffers, OptionMap options,
			ClientCallback<ClientConnection> callback) {
		ReceiveLimit limit = new ReceiveLimit();
		ResponseBytes responseBytes = new ResponseBytes();
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				limit.attachTo(connection);
				responseBytes.attachTo(connection);
				callback.completed(connection);
			}

			@Override
			public void failed(IOException ex) {
				callback.failed(ex);
			}

		}, uri, new LimitingThread(worker.getIoThread(), (connection) -> {
			limit.install(connection);
			responseBytes.install(connection);
		}), buffers, options);
	}

	/**
	 * Represents an I/O thread to the HTTP client, which has no other way to change a
	 * connection before it is used. It is never started; all work is done by the I/O
	 * thread.
	 */
	private static final class LimitingThread extends XnioIoThread {

		private final XnioIoThread thread;

		private final Consumer<StreamConnection> preparation;

		private LimitingThread(XnioIoThread thread, Consumer<StreamConnection> preparation) {
			super(thread.getWorker(), thread.getNumber());
			this.thread = thread;
			this.preparation = preparation;
		}

		@Override
		public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
				ChannelListener<? super StreamConnection> openListener, OptionMap options) {
			return this.thread.openStreamConnection(destination, (connection) -> {
				this.preparation.accept(connection);
				openListener.handleEvent(connection);
			}, options);
		}

		@Override
		public void execute(Runnable command) {
			this.thread.execute(command);
		}

		@Override
		public Key executeAfter(Runnable command, long time, TimeUnit unit) {
			return this.thread.executeAfter(command, time, unit);
		}

		@Override
		public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
			return this.thread.executeAtInterval(command, time, unit);
		}

	}

}
