package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * Probe that checks whether an address leads to this process. An agent uses it to detect
 * that the platform has assigned its instance name to a replacement, even if there is a
 * proxy in front of either of them.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface SelfConnectionProbe {

	/**
	 * Connects to an address without waiting for the result.
	 * @param address the address
	 * @param onMatch is run, by another thread, if the address leads to this process
	 */
	void probe(InetSocketAddress address, Runnable onMatch);

	/**
	 * Creates a probe that connects in the same way as this process's other connections.
	 * @param connect connects to an address, proves this process's identity and notifies
	 * the listener
	 * @param incarnation the incarnation of this process
	 * @return the probe, never null
	 */
	static SelfConnectionProbe create(BiConsumer<InetSocketAddress, ConnectionListener> connect, long incarnation) {
		return (address, onMatch) -> connect.accept(address, new ConnectionListener() {

			@Override
			public void onOpened(FrameConnection connection) {
				if (connection.peer().incarnation() == incarnation) {
					onMatch.run();
				}
				connection.close("the connection served only to identify the peer");
			}

			@Override
			public void onReceived(FrameConnection connection, Message message) {
			}

			@Override
			public void onClosed(FrameConnection connection, String reason) {
			}

		});
	}

}
