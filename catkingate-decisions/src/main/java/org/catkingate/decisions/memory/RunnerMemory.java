package org.catkingate.decisions.memory;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory of one runner that requests occupy, in tokens. The requests of this process
 * are known exactly; those of other gateways are taken from the number of requests that
 * the runner and its loader report, each with the mean of the service. Not thread-safe.
 *
 * @since 0.1
 */
public final class RunnerMemory {

	/**
	 * The time for which a reported number of requests is valid, that of other reported
	 * loads. Without reports only the requests of this process count.
	 */
	private static final long REPORT_VALID_MILLIS = 1500;

	/**
	 * The time since which a request must have been sent to be contained in a report.
	 * Reports of loaders are up to 200 ms old, and a request is on its way for some
	 * milliseconds. A younger request counts twice if it is contained, which errs on the
	 * safe side.
	 */
	private static final long REPORT_DELAY_MILLIS = 250;

	private final Set<Reservation> own = new LinkedHashSet<>();

	private int othersRequests;

	private long reportedAtMillis = Long.MIN_VALUE / 2;

	/**
	 * Records how many requests the runner holds for all gateways.
	 * @param requests the number of running and waiting requests
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordRequests(int requests, long nowMillis) {
		long contained = this.own.stream()
			.filter((request) -> nowMillis - request.sentAtMillis >= REPORT_DELAY_MILLIS)
			.count();
		this.othersRequests = (int) Math.max(0, requests - contained);
		this.reportedAtMillis = nowMillis;
	}

	/**
	 * Returns whether the requests at the runner leave room for a call.
	 * @param need the memory that the call needs
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether all of them stay within the memory until they end; always if the
	 * service publishes none
	 */
	public boolean hasRoom(MemoryNeed need, long nowMillis) {
		return need.capacityTokens() == Long.MAX_VALUE
				|| need.tokens() <= need.capacityTokens() - heldTokens(need.meanRequestTokens(), nowMillis);
	}

	private long heldTokens(long meanRequestTokens, long nowMillis) {
		boolean recent = nowMillis - this.reportedAtMillis < REPORT_VALID_MILLIS;
		long others = recent ? this.othersRequests * meanRequestTokens : 0;
		return others + this.own.stream().mapToLong(Reservation::tokens).sum();
	}

	/**
	 * Records that a request is sent.
	 * @param need the memory that it needs
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the memory that is reserved for it until it is released
	 */
	public Reservation reserve(MemoryNeed need, long nowMillis) {
		Reservation reservation = new Reservation(need, nowMillis);
		this.own.add(reservation);
		return reservation;
	}

	/**
	 * The memory that is reserved for one request. Not thread-safe.
	 */
	public final class Reservation {

		private final MemoryNeed need;

		private final long sentAtMillis;

		private long generatedTokens;

		private Reservation(MemoryNeed need, long sentAtMillis) {
			this.need = need;
			this.sentAtMillis = sentAtMillis;
		}

		/**
		 * Records received events. A response that is longer than expected is assumed to
		 * have one more event to come.
		 * @param events the number of events
		 */
		public void addEvents(int events) {
			this.generatedTokens += (long) events * this.need.tokensPerEvent();
		}

		private long tokens() {
			return (this.generatedTokens < this.need.responseTokens()) ? this.need.tokens()
					: this.need.promptTokens() + this.generatedTokens + this.need.tokensPerEvent();
		}

		/**
		 * Records that the request has ended at the runner.
		 */
		public void release() {
			RunnerMemory.this.own.remove(this);
		}

	}

}
