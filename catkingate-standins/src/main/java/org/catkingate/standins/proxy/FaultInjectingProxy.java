package org.catkingate.standins.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.ParameterException;
import io.undertow.server.RoutingHandler;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandIn;
import org.catkingate.standins.StandInOptions;

/**
 * A TCP proxy to one target that injects faults: it can delay, hold, reset, silence and
 * corrupt connections. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class FaultInjectingProxy implements StandIn {

	private static final int BACKLOG = 512;

	private static final int CONNECT_TIMEOUT_MILLIS = 5000;

	private final ProxyOptions options;

	private final ServerSocket server;

	private final HttpService control;

	private final DirectionRateLimits rateLimits;

	private final List<ProxiedConnection> openConnections = new ArrayList<>();

	private long acceptedConnections;

	private FaultInjectingProxy(ProxyOptions options) throws IOException {
		this.options = options;
		this.rateLimits = DirectionRateLimits.of(options);
		this.server = new ServerSocket();
		this.server.bind(options.listenAddress(), BACKLOG);
		this.control = HttpService.start(StandInOptions.parse(StandInOptions::new, "--listen", options.control),
				options, routes());
	}

	/**
	 * Starts a proxy.
	 * @param arguments options as on the command line; {@code --target} is required
	 * @return the running proxy, never null
	 */
	public static FaultInjectingProxy start(String... arguments) {
		ProxyOptions options = StandInOptions.parse(ProxyOptions::new, arguments);
		if (options.target == null) {
			throw new ParameterException("option --target is missing; specify the IP:PORT to connect to");
		}
		try {
			FaultInjectingProxy proxy = new FaultInjectingProxy(options);
			Thread thread = new Thread(proxy::accept, "proxy-accept");
			thread.setDaemon(true);
			thread.start();
			return proxy;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private RoutingHandler routes() {
		return new RoutingHandler().post("/control/cut", (exchange) -> resetConnections())
			.post("/control/silence", (exchange) -> silenceConnections())
			.get("/control/connections",
					(exchange) -> exchange.getResponseSender().send(Integer.toString(openConnections())));
	}

	/**
	 * Resets all connections that are currently open. New connections are not affected.
	 */
	public synchronized void resetConnections() {
		this.openConnections.forEach(ProxiedConnection::reset);
		this.openConnections.clear();
	}

	/**
	 * Silences all connections that are currently open: both sockets stay open, but all
	 * bytes sent by either side are discarded permanently. New connections are not
	 * affected.
	 */
	public synchronized void silenceConnections() {
		this.openConnections.forEach(ProxiedConnection::silence);
	}

	/**
	 * Returns the number of connections that have not ended, including silent ones.
	 * @return the number of connections
	 */
	public synchronized int openConnections() {
		this.openConnections.removeIf(ProxiedConnection::hasEnded);
		return this.openConnections.size();
	}

	/**
	 * Changes the target of new connections.
	 * @param target the new target
	 */
	public void changeTarget(InetSocketAddress target) {
		this.options.target = Addresses.format(target);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				connect(this.server.accept());
			}
			catch (IOException ex) {
				// the connection failed or the server was closed, which ends the loop
			}
		}
	}

	private void connect(Socket caller) throws IOException {
		if (this.options.refuse) {
			ProxiedConnection.reset(caller);
			return;
		}
		Socket target = new Socket();
		try {
			target.connect(Addresses.parse(this.options.target), CONNECT_TIMEOUT_MILLIS);
			add(caller, target);
		}
		catch (IOException ex) {
			ProxiedConnection.reset(caller);
			ProxiedConnection.reset(target);
		}
	}

	private synchronized void add(Socket caller, Socket target) throws IOException {
		this.openConnections.removeIf(ProxiedConnection::hasEnded);
		this.acceptedConnections++;
		// each connection has its own random sequence, repeatable for the same --seed
		this.openConnections.add(ProxiedConnection.start(caller, target, this.options, this.rateLimits.toTarget(),
				this.rateLimits.toCaller(), this.options.seed * 1_000_003 + this.acceptedConnections));
	}

	@Override
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Returns the address that the control API listens on.
	 * @return the bound address, never null
	 */
	public InetSocketAddress controlAddress() {
		return this.control.address();
	}

	@Override
	public void configure(String... arguments) {
		this.options.update(arguments);
	}

	@Override
	public void close() {
		this.control.close();
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		resetConnections();
	}

}
