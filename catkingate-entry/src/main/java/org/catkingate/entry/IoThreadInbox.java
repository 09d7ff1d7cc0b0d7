package org.catkingate.entry;

import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.xnio.XnioIoThread;

import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.Traffic;

/**
 * Hands messages to the calls of one I/O thread, in order and many at a time, so that a
 * token costs no wake-up of its own under load. Safe for use by any thread.
 */
final class IoThreadInbox {

	private final Queue<Delivery> deliveries = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private final XnioIoThread thread;

	IoThreadInbox(XnioIoThread thread) {
		this.thread = thread;
	}

	void deliver(ActiveRequest call, PeerConnection connection, Traffic message) {
		this.deliveries.add(new Delivery(call, connection, message));
		if (this.scheduled.compareAndSet(false, true)) {
			schedule();
		}
	}

	private void schedule() {
		try {
			this.thread.execute(this::deliverAll);
		}
		catch (RejectedExecutionException ex) {
			this.deliveries.clear();
		}
	}

	private void deliverAll() {
		this.scheduled.set(false);
		Set<ActiveRequest> touched = new LinkedHashSet<>();
		Delivery next = this.deliveries.poll();
		while (next != null) {
			next.call().receive(next.connection(), next.message());
			touched.add(next.call());
			next = this.deliveries.poll();
		}
		touched.forEach(ActiveRequest::writeResponse);
	}

	/**
	 * One message for one call.
	 *
	 * @param call the call
	 * @param connection where it came from
	 * @param message the message
	 */
	private record Delivery(ActiveRequest call, PeerConnection connection, Traffic message) {

	}

}
