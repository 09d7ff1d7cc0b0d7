package org.catkingate.agent.requests;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

import org.catkingate.decisions.limits.PlaceTime;

/**
 * The bounded queue in front of one runner. So many requests run at a time, so many more
 * wait, those of higher priority first and equals in order of arrival. Safe for use by
 * any thread; it starts nothing itself.
 */
final class RunnerQueue {

	private static final Comparator<AgentRequest> ORDER = Comparator
		.comparingInt((AgentRequest request) -> -request.dispatch().priority())
		.thenComparingLong(AgentRequest::arrivalNumber);

	private final PriorityQueue<AgentRequest> waiting = new PriorityQueue<>(ORDER);

	private PlaceTime slotTime = PlaceTime.unknown();

	private int running;

	/**
	 * Takes a request in, unless the queue is full of requests before it or its deadline
	 * would pass in the queue.
	 * @param request the request
	 * @param capacity how many may run and wait
	 * @param nowMillis the time now, in milliseconds
	 * @return what is to be done with it and with others
	 */
	synchronized OfferResult offer(AgentRequest request, Capacity capacity, long nowMillis) {
		if (this.running < capacity.running()) {
			this.running++;
			return new OfferResult(Outcome.START, 0, Optional.empty());
		}
		int ahead = (int) this.waiting.stream().filter((other) -> ORDER.compare(other, request) < 0).count();
		long wait = this.slotTime.waitMillis(ahead, capacity.running());
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
	 * Takes note that a request which was started has ended.
	 * @param capacity how many may run and wait
	 * @param tookMillis how long it had its place, in milliseconds
	 * @return the requests that are to be started now
	 */
	synchronized List<AgentRequest> ended(Capacity capacity, long tookMillis) {
		this.running--;
		this.slotTime = this.slotTime.after(tookMillis);
		List<AgentRequest> next = new ArrayList<>();
		while (this.running < capacity.running() && !this.waiting.isEmpty()) {
			next.add(this.waiting.poll());
			this.running++;
		}
		return next;
	}

	/**
	 * Takes a waiting request out.
	 * @param request the request
	 * @return whether it was waiting
	 */
	synchronized boolean remove(AgentRequest request) {
		return this.waiting.remove(request);
	}

	/**
	 * Takes all waiting requests out.
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
	 * What becomes of a request that is offered.
	 */
	enum Outcome {

		START, WAIT, REFUSE

	}

	/**
	 * The answer to an offer.
	 *
	 * @param outcome what becomes of the request
	 * @param waitMillis the wait to be expected in the queue, in milliseconds
	 * @param displaced a waiting request of lower priority that must be refused for it
	 */
	record OfferResult(Outcome outcome, long waitMillis, Optional<AgentRequest> displaced) {

	}

	/**
	 * How many requests a runner takes.
	 *
	 * @param running how many run at a time
	 * @param waiting how many more wait
	 */
	record Capacity(int running, int waiting) {

	}

}
