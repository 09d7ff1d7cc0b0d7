package org.catkingate.tests.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports for processes whose address must be known before they start. They lie below
 * the ephemeral port range of the system, so that nothing else takes them before the
 * process starts. Safe for use by any thread.
 */
public final class FreePorts {

	/**
	 * Number of this test JVM. Parallel test JVMs use separate port ranges: the four of
	 * the build use 16 000 to 27 999, below the ports of {@code DemoTests}.
	 */
	private static final int FORK_NUMBER = Integer.getInteger("catkingate.test-fork", 1);

	private static final int PORTS_PER_FORK = 3000;

	private static final int FIRST_PORT = 13_000 + FORK_NUMBER * PORTS_PER_FORK;

	private static final AtomicInteger NEXT_OFFSET = new AtomicInteger(
			ThreadLocalRandom.current().nextInt(PORTS_PER_FORK));

	private FreePorts() {
	}

	public static InetSocketAddress next() {
		for (int tried = 0; tried < PORTS_PER_FORK; tried++) {
			int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORTS_PER_FORK;
			if (isFree(port)) {
				return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
			}
		}
		throw new IllegalStateException("no free port");
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
