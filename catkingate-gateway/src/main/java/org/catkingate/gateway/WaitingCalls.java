package org.catkingate.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.xnio.XnioExecutor;

import org.catkingate.model.ServiceName;

/**
 * The calls that wait until a runner of their service can serve them, in the order of
 * arrival. Only the first call of a service is decided on at a time, since the others
 * would get the same decision. Used by the traffic thread only.
 */
final class WaitingCalls {

	/**
	 * The maximum number of calls that wait for all services together, which bounds the
	 * memory for them.
	 */
	private static final int MAX_CALLS = 500;

	private static final long CHECK_INTERVAL_MILLIS = 50;

	private final Map<ServiceName, Deque<BooleanSupplier>> calls = new HashMap<>();

	private int count;

	private boolean checking;

	/**
	 * Adds a call.
	 * @param service the service
	 * @param maxCalls the number of calls to the service that may wait
	 * @param attempt decides on the call again and returns whether it waits no longer
	 * @param executor runs the attempts
	 * @return whether there was a place
	 */
	boolean add(ServiceName service, int maxCalls, BooleanSupplier attempt, XnioExecutor executor) {
		Deque<BooleanSupplier> waiting = this.calls.computeIfAbsent(service, (key) -> new ArrayDeque<>());
		if (this.count >= MAX_CALLS || waiting.size() >= maxCalls) {
			return false;
		}
		this.count++;
		waiting.add(attempt);
		if (!this.checking) {
			this.checking = true;
			scheduleCheck(executor);
		}
		return true;
	}

	private void scheduleCheck(XnioExecutor executor) {
		executor.executeAfter(() -> check(executor), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Decides on waiting calls again.
	 */
	void check() {
		this.calls.values().forEach((waiting) -> {
			while (!waiting.isEmpty() && waiting.peekFirst().getAsBoolean()) {
				waiting.removeFirst();
				this.count--;
			}
		});
	}

	private void check(XnioExecutor executor) {
		check();
		this.checking = this.count > 0;
		if (this.checking) {
			scheduleCheck(executor);
		}
	}

}
