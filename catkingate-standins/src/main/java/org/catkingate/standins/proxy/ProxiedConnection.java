package org.catkingate.standins.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;

import org.catkingate.standins.TokenBucket;

/**
 * One connection through the proxy. Once it is silent, both ends stay open and everything
 * is swallowed, for good. Safe for use by any thread.
 */
final class ProxiedConnection {

	private static final long THREAD_STACK_BYTES = 128 * 1024;

	private final Socket caller;

	private final Socket target;

	private final ProxyOptions options;

	private List<Thread> threads = List.of();

	private volatile boolean silent;

	private ProxiedConnection(Socket caller, Socket target, ProxyOptions options) {
		this.caller = caller;
		this.target = target;
		this.options = options;
	}

	static ProxiedConnection start(Socket caller, Socket target, ProxyOptions options, TokenBucket there,
			TokenBucket back, long seed) throws IOException {
		caller.setTcpNoDelay(true);
		target.setTcpNoDelay(true);
		ProxiedConnection connection = new ProxiedConnection(caller, target, options);
		SplittableRandom random = new SplittableRandom(seed);
		StreamForwarder first = new StreamForwarder(caller, target, options, there, connection::isSilent,
				random.split(), connection::reset);
		StreamForwarder second = new StreamForwarder(target, caller, options, back, connection::isSilent,
				random.split(), connection::reset);
		connection.threads = List.of(thread(first::read), thread(first::write), thread(second::read),
				thread(second::write));
		connection.threads.forEach(Thread::start);
		return connection;
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(null, task, "proxy", THREAD_STACK_BYTES);
		thread.setDaemon(true);
		return thread;
	}

	private boolean isSilent() {
		if (this.options.blackhole) {
			this.silent = true;
		}
		return this.silent;
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
			// closed already
		}
		try {
			socket.close();
		}
		catch (IOException ex) {
			// closed already
		}
	}

}
