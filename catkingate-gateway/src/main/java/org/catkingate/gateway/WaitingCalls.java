package org.catkingate.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

import org.catkingate.decisions.competition.ServiceCompetition;
import org.catkingate.decisions.competition.WaitingQueue;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;

/**
 * The calls that wait until a runner of their service can serve them. When something has
 * changed, only the first call of each residency is decided on, since the others would
 * get the same decision or a worse one. Used by the traffic thread only, except for the
 * description.
 */
final class WaitingCalls {

	/**
	 * The maximum number of calls that wait for all services together, which bounds the
	 * memory for them.
	 */
	private static final int MAX_CALLS = 500;

	private static final long CHECK_INTERVAL_MILLIS = 50;

	private final Map<ServiceName, WaitingQueue<Call>> queues = new HashMap<>();

	private final ServiceCompetitions competitions;

	private final ReadyTimes readyTimes;

	private final MonotonicClock clock;

	private int count;

	private boolean scheduled;

	/** Whether a decision is in progress, whose effects may cause another check. */
	private boolean checking;

	private volatile Map<String, String> described = Map.of();

	WaitingCalls(ServiceCompetitions competitions, ReadyTimes readyTimes, MonotonicClock clock) {
		this.readyTimes = readyTimes;
		this.competitions = competitions;
		this.clock = clock;
	}

	/**
	 * Returns how calls to a service wait.
	 * @param service the service
	 * @return the queue, never null
	 */
	WaitingQueue<Call> queue(ServiceName service) {
		return this.queues.computeIfAbsent(service, (key) -> new WaitingQueue<>());
	}

	/**
	 * Adds a call.
	 * @param service the service
	 * @param maxCalls the number of calls to the service that may wait
	 * @param entry the call
	 * @param executor runs the decisions
	 * @return whether there was a place
	 */
	boolean add(ServiceName service, int maxCalls, WaitingQueue.Entry<Call> entry, XnioExecutor executor) {
		WaitingQueue<Call> queue = queue(service);
		if (this.count >= MAX_CALLS || queue.size() >= maxCalls) {
			return false;
		}
		this.count++;
		queue.add(entry, this.clock.millis());
		if (!this.scheduled) {
			this.scheduled = true;
			scheduleCheck(executor);
		}
		return true;
	}

	/**
	 * Removes a call that waits no longer.
	 * @param service the service
	 * @param entry the call
	 */
	void remove(ServiceName service, WaitingQueue.Entry<Call> entry) {
		if (queue(service).remove(entry)) {
			this.count--;
		}
	}

	private void scheduleCheck(XnioExecutor executor) {
		executor.executeAfter(() -> check(executor), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends the waiting calls of all services that have a place now.
	 */
	void check() {
		if (this.count > 0) {
			Set.copyOf(this.queues.keySet()).forEach(this::check);
		}
	}

	/**
	 * Sends the waiting calls of a service that have a place now.
	 * @param service the service
	 */
	void check(ServiceName service) {
		WaitingQueue<Call> queue = this.queues.get(service);
		if (this.checking || queue == null || queue.size() == 0) {
			return;
		}
		this.checking = true;
		try {
			sendFirst(service, queue);
		}
		finally {
			this.checking = false;
		}
	}

	private void sendFirst(ServiceName service, WaitingQueue<Call> queue) {
		Set<Residency> withoutPlace = new HashSet<>();
		ServiceCompetition competition = this.competitions.of(service, this.clock.millis());
		Optional<WaitingQueue.Turn<Call>> turn = queue.first(withoutPlace, competition, this.clock.millis());
		while (turn.isPresent()) {
			WaitingQueue.Entry<Call> entry = turn.get().entry();
			if (entry.call().trySend(turn.get().late())) {
				remove(service, entry);
			}
			else {
				withoutPlace.add(entry.residency());
			}
			turn = queue.first(withoutPlace, competition, this.clock.millis());
		}
	}

	private void check(XnioExecutor executor) {
		try {
			checkAll();
		}
		finally {
			// also after a failure, since the calls that wait would be left alone
			this.scheduled = this.count > 0;
			if (this.scheduled) {
				scheduleCheck(executor);
			}
		}
	}

	private void checkAll() {
		check();
		Map<String, String> descriptions = new TreeMap<>();
		for (ServiceName service : Set.copyOf(this.queues.keySet())) {
			long now = this.clock.millis();
			WaitingQueue<Call> queue = queue(service);
			queue
				.removeHopeless(this.competitions.of(service, now),
						(residency) -> this.readyTimes.servesInMillis(service, residency, now), now)
				.forEach((entry) -> {
					this.count--;
					entry.call().giveUp();
				});
			descriptions.put(service.toString(), "waiting: " + queue.size() + ", of them late: " + queue.lateSize()
					+ "; " + this.competitions.describe(service, now));
		}
		this.described = descriptions;
	}

	int count() {
		return this.count;
	}

	/**
	 * Describes the waiting calls and their competition for operators. Safe for use by
	 * any thread.
	 * @return a text for each service that calls have waited for, as of the last check
	 */
	Map<String, String> describe() {
		return this.described;
	}

	/**
	 * Tells when runners that load weights are expected to serve.
	 */
	@FunctionalInterface
	interface ReadyTimes {

		/**
		 * Returns the time until a runner of a service serves again.
		 * @param service the service
		 * @param residency where the calls may be served
		 * @param nowMillis the time now, in monotonic milliseconds
		 * @return the time in milliseconds; empty if one serves now or it is unknown
		 */
		OptionalLong servesInMillis(ServiceName service, Residency residency, long nowMillis);

	}

	/**
	 * A call that waits.
	 */
	interface Call {

		/**
		 * Sends the call if there is a place.
		 * @param late whether it may only use capacity that other calls leave free
		 * @return whether the call waits no longer
		 */
		boolean trySend(boolean late);

		/**
		 * Ends the wait: sending the call does not help any more, or is not expected in
		 * time.
		 */
		void giveUp();

	}

}
