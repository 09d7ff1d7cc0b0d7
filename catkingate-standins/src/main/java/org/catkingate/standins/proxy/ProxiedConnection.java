package org.catkingate.standins.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;

import org.catkingate.standins.TokenBucket;

/**
 * A connection through the proxy. When it becomes silent, both sockets stay open and all
 * further bytes are discarded permanently. Safe for use by any thread.
 */
final class ProxiedConnection {

	private static final long THREAD_STACK_BYTES = 128 * 1024;

	private final Socket caller;

	private final Socket target;

	private final ProxyOptions options;

	private List<Thread> threads = List.of();

	private volatile boolean silent;

	private volatile boolean responsesSilent;

	private ProxiedConnection(Socket caller, Socket target, ProxyOptions options) {
		this.caller = caller;
		this.target = target;
		this.options = options;
	}

	static ProxiedConnection start(Socket caller, Socket target, ProxyOptions options, TokenBucket toTarget,
			TokenBucket toCaller, long seed) throws IOException {
		caller.setTcpNoDelay(true);
		target.setTcpNoDelay(true);
		ProxiedConnection connection = new ProxiedConnection(caller, target, options);
		SplittableRandom random = new SplittableRandom(seed);
		StreamForwarder forward = new StreamForwarder(caller, target, options, toTarget,
				connection::silenceIfBlackholed, random.split(), connection::reset);
		StreamForwarder backward = new StreamForwarder(target, caller, options, toCaller,
				connection::silenceResponsesIfDiscarded, random.split(), connection::reset);
		connection.threads = List.of(thread(forward::read), thread(forward::write), thread(backward::read),
				thread(backward::write));
		connection.threads.forEach(Thread::start);
		return connection;
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(null, task, "proxy", THREAD_STACK_BYTES);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Silences the connection permanently if the proxy currently discards all bytes.
	 * @return whether the connection is silent
	 */
	private boolean silenceIfBlackholed() {
		if (this.options.blackhole) {
			this.silent = true;
		}
		return this.silent;
	}

	/**
	 * Does the same for the direction to the caller, which may also be silenced alone: a
	 * connection that has lost bytes cannot deliver later ones.
	 * @return whether the direction is silent
	 */
	private boolean silenceResponsesIfDiscarded() {
		if (this.options.discardResponses) {
			this.responsesSilent = true;
		}
		return silenceIfBlackholed() || this.responsesSilent;
	}

	boolean hasEnded() {
		return this.threads.stream().noneMatch(Thread::isAlive);
	}

	void silence() {
		this.silent = true;
	}

	void reset() {
		reset(this.caller);
		reset(this.target);
		this.threads.forEach(Thread::interrupt);
	}

	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// the socket is already closed
		}
		try {
			socket.close();
		}
		catch (IOException ex) {
			// the socket is already closed
		}
	}

}
