package org.catkingate.agent.requests;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

import org.catkingate.decisions.limits.SlotOccupancy;

/**
 * Bounded priority queue in front of one runner. It limits how many requests run and how
 * many more wait. Waiting requests are ordered by priority, and by arrival within a
 * priority. Safe for use by any thread; the caller starts the requests.
 */
final class RunnerQueue {

	private static final Comparator<AgentRequest> ORDER = Comparator
		.comparingInt((AgentRequest request) -> -request.dispatch().priority())
		.thenComparingLong(AgentRequest::arrivalNumber);

	private final PriorityQueue<AgentRequest> waiting = new PriorityQueue<>(ORDER);

	private SlotOccupancy slotOccupancy = SlotOccupancy.unknown();

	private int running;

	/**
	 * Accepts a request, unless the queue is full of requests that precede it or its
	 * deadline would pass in the queue.
	 * @param request the request
	 * @param capacity the number of requests that may run and wait
	 * @param nowMillis the current time, in milliseconds
	 * @return the result for this request and for one that it displaces
	 */
	synchronized OfferResult offer(AgentRequest request, Capacity capacity, long nowMillis) {
		if (this.running < capacity.running()) {
			this.running++;
			return new OfferResult(Outcome.START, 0, Optional.empty());
		}
		int ahead = (int) this.waiting.stream().filter((queued) -> ORDER.compare(queued, request) < 0).count();
		long wait = this.slotOccupancy.waitMillis(ahead, capacity.running());
		if (ahead >= capacity.waiting() || wait > request.deadlineMillis() - nowMillis) {
			return new OfferResult(Outcome.REFUSE, wait, Optional.empty());
		}
		this.waiting.add(request);
		if (this.waiting.size() <= capacity.waiting()) {
			return new OfferResult(Outcome.WAIT, wait, Optional.empty());
		}
		Optional<AgentRequest> last = this.waiting.stream().max(ORDER);
		last.ifPresent(this.waiting::remove);
		return new OfferResult(Outcome.WAIT, wait, last);
	}

	/**
	 * Records that a started request has ended, and removes the requests that can start
	 * in its place from the queue.
	 * @param capacity the number of requests that may run and wait
	 * @param occupiedMillis how long it occupied its slot, in milliseconds
	 * @return the requests to start now
	 */
	synchronized List<AgentRequest> recordEnd(Capacity capacity, long occupiedMillis) {
		this.running--;
		this.slotOccupancy = this.slotOccupancy.withObservation(occupiedMillis);
		List<AgentRequest> next = new ArrayList<>();
		while (this.running < capacity.running() && !this.waiting.isEmpty()) {
			next.add(this.waiting.poll());
			this.running++;
		}
		return next;
	}

	/**
	 * Removes a waiting request.
	 * @param request the request
	 * @return whether it was waiting
	 */
	synchronized boolean remove(AgentRequest request) {
		return this.waiting.remove(request);
	}

	/**
	 * Removes all waiting requests.
	 * @return those that were waiting
	 */
	synchronized List<AgentRequest> removeAll() {
		List<AgentRequest> all = new ArrayList<>(this.waiting);
		this.waiting.clear();
		return all;
	}

	synchronized int load() {
		return this.running + this.waiting.size();
	}

	/**
	 * Outcomes of an offered request.
	 */
	enum Outcome {

		/** A slot is free; the request must be started now. */
		START,

		/** The request waits in the queue. */
		WAIT,

		/** The queue is full of requests that precede it, or its deadline would pass. */
		REFUSE

	}

	/**
	 * Result of an offer.
	 *
	 * @param outcome the outcome for the request
	 * @param waitMillis the expected wait in the queue, in milliseconds
	 * @param displaced a waiting request of lower priority that must be rejected in its
	 * favour
	 */
	record OfferResult(Outcome outcome, long waitMillis, Optional<AgentRequest> displaced) {

	}

	/**
	 * Maximum numbers of requests of a runner.
	 *
	 * @param running the number that may run at the same time
	 * @param waiting the number that may wait in addition
	 */
	record Capacity(int running, int waiting) {

	}

}
