package org.catkingate.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

import org.catkingate.model.registry.CallerLimits;

/**
 * The HTTP server that callers connect to. The address is bound before the rest of the
 * process has started, and connections wait in the backlog until
 * {@link #startAccepting(HttpHandler)} is called. Its limits follow the configuration; a
 * change of the limits applies to new connections only. Safe for use by any thread.
 */
final class CallerServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final int MAX_HEADERS = 100;

	private final HttpOpenListener listener;

	private final AcceptingChannel<StreamConnection> channel;

	private volatile CallerLimits limits;

	private CallerServer(HttpOpenListener listener, AcceptingChannel<StreamConnection> channel) {
		this.listener = listener;
		this.channel = channel;
	}

	static CallerServer bind(InetSocketAddress address, XnioWorker worker, ByteBufferPool buffers) throws IOException {
		HttpOpenListener listener = new HttpOpenListener(buffers, options(null));
		OptionMap socket = OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, BACKLOG)
			.getMap();
		AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(address,
				ChannelListeners.openListenerAdapter((connection) -> {
					ValidatingSourceConduit.install(connection);
					listener.handleEvent(connection);
				}), socket);
		return new CallerServer(listener, channel);
	}

	/**
	 * Starts to accept connections.
	 * @param handler handles the requests
	 */
	void startAccepting(HttpHandler handler) {
		this.listener.setRootHandler(handler);
		this.channel.resumeAccepts();
	}

	private static OptionMap options(CallerLimits limits) {
		OptionMap.Builder options = OptionMap.builder()
			.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.set(UndertowOptions.ALWAYS_SET_DATE, false)
			.set(UndertowOptions.MAX_HEADERS, MAX_HEADERS);
		if (limits != null) {
			options.set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
				.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headerTimeoutMillis())
				.set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMillis());
		}
		return options.getMap();
	}

	void updateLimits(Optional<CallerLimits> next) {
		if (next.isPresent() && !next.get().equals(this.limits)) {
			this.limits = next.get();
			this.listener.setUndertowOptions(options(next.get()));
		}
	}

	InetSocketAddress address() {
		return this.channel.getLocalAddress(InetSocketAddress.class);
	}

	/**
	 * Stops accepting connections.
	 */
	@Override
	public void close() {
		IoUtils.safeClose(this.channel);
	}

}
