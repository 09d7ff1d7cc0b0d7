package org.catkingate.entry;

import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.xnio.XnioIoThread;

import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.RequestMessage;

/**
 * A queue of messages for the requests of one I/O thread. The thread processes them in
 * order and in batches, so that under load not every token wakes it up. Safe for use by
 * any thread.
 */
final class IoThreadInbox {

	private final Queue<Delivery> deliveries = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private final XnioIoThread thread;

	IoThreadInbox(XnioIoThread thread) {
		this.thread = thread;
	}

	void deliver(ActiveRequest request, PeerConnection connection, RequestMessage message) {
		this.deliveries.add(new Delivery(request, connection, message));
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
		Set<ActiveRequest> updated = new LinkedHashSet<>();
		Delivery next = this.deliveries.poll();
		while (next != null) {
			next.request().receive(next.connection(), next.message());
			updated.add(next.request());
			next = this.deliveries.poll();
		}
		updated.forEach(ActiveRequest::writeResponse);
	}

	/**
	 * A message for one request.
	 *
	 * @param request the request
	 * @param connection the connection that the message arrived on
	 * @param message the message
	 */
	private record Delivery(ActiveRequest request, PeerConnection connection, RequestMessage message) {

	}

}
