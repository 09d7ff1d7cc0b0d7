package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * Finds out whether an address leads to this process. An agent whose name the platform
 * has given to a replacement learns so, also if something stands in front of either.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface SelfDial {

	/**
	 * Connects, without waiting.
	 * @param address the address
	 * @param itself is run if this process answers there, by another thread
	 */
	void probe(InetSocketAddress address, Runnable itself);

	/**
	 * Dials like this process's other connections.
	 * @param connect connects to an address, proves this process's identity and tells the
	 * listener what happens
	 * @param incarnation the incarnation of this process
	 * @return the dial, never null
	 */
	static SelfDial over(BiConsumer<InetSocketAddress, ConnectionListener> connect, long incarnation) {
		return (address, itself) -> connect.accept(address, new ConnectionListener() {

			@Override
			public void opened(FrameConnection connection) {
				if (connection.peer().incarnation() == incarnation) {
					itself.run();
				}
				connection.close("it was made to learn who answers");
			}

			@Override
			public void received(FrameConnection connection, Message message) {
			}

			@Override
			public void closed(FrameConnection connection, String reason) {
			}

		});
	}

}
