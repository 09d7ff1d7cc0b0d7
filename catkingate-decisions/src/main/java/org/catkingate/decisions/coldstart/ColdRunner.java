package org.catkingate.decisions.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.prompts.RunnerStart;

/**
 * The requests that this gateway sends to one start of a runner, and how many it may send
 * while the runner is cold. Requests to a warm runner are counted too, since it may
 * become cold at any moment. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ColdRunner {

	/**
	 * The time in which the requests are counted: the second of the rule, and a margin
	 * for requests that leave some time after they were written.
	 */
	static final long WINDOW_MILLIS = 1020;

	private static final double MILLIS_PER_SECOND = 1000;

	/** When each request of the window was written, in monotonic milliseconds. */
	private final Deque<Long> sent = new ArrayDeque<>();

	private final KnownGateways gateways;

	private final RunnerStart runner;

	/** The requests from all gateways in a second, empty if they are not limited. */
	private Optional<Double> allowance = Optional.empty();

	private boolean cold = true;

	private int part;

	private int partGateways;

	private int reserved;

	/**
	 * Creates an instance for a runner that may get any number of requests.
	 * @param gateways the gateways that share the allowance
	 * @param runner the runner
	 */
	public ColdRunner(KnownGateways gateways, RunnerStart runner) {
		this.gateways = Objects.requireNonNull(gateways, "gateways must not be null");
		this.runner = Objects.requireNonNull(runner, "runner must not be null");
	}

	/**
	 * Updates what is known of the runner.
	 * @param nextAllowance the requests that all gateways together may send to it in any
	 * second while it is cold; empty if its service has no cold starts
	 * @param nextCold whether it is not known to be warm
	 */
	public void update(Optional<Double> nextAllowance, boolean nextCold) {
		if (!nextAllowance.equals(this.allowance)) {
			this.allowance = nextAllowance;
			this.partGateways = 0;
		}
		this.cold = nextCold;
	}

	/**
	 * Returns the runner.
	 * @return the runner, never null
	 */
	public RunnerStart runner() {
		return this.runner;
	}

	/**
	 * Returns whether requests to the runner are limited since it is cold.
	 * @return whether it is not known to be warm and its service has cold starts
	 */
	public boolean isCold() {
		return this.cold && this.allowance.isPresent();
	}

	/**
	 * Returns whether the runner has to be followed further.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether requests were sent recently or are about to be sent
	 */
	public boolean isInUse(long nowMillis) {
		return this.reserved > 0 || countSent(nowMillis) > 0;
	}

	/**
	 * Returns the requests that this gateway may send to the runner.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the number in any second while the runner is cold
	 */
	public int part(long nowMillis) {
		if (this.partGateways != this.gateways.count()) {
			this.partGateways = this.gateways.count();
			this.part = this.allowance.map((requests) -> this.gateways.part(this.runner, requests)).orElse(0);
		}
		return this.gateways.isSettled(nowMillis) ? this.part : 0;
	}

	/**
	 * Returns the rate at which this gateway may send to the runner.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the requests a second
	 */
	public double partPerSecond(long nowMillis) {
		return part(nowMillis) * MILLIS_PER_SECOND / WINDOW_MILLIS;
	}

	private int countSent(long nowMillis) {
		while (!this.sent.isEmpty() && this.sent.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			this.sent.removeFirst();
		}
		return this.sent.size();
	}

	/**
	 * Returns whether a request may be sent, besides those that are about to be sent.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the runner is warm, or this gateway's part is not used up
	 */
	public boolean hasRoom(long nowMillis) {
		return !isCold() || countSent(nowMillis) + this.reserved < part(nowMillis);
	}

	/**
	 * Reserves room for a request that will be sent once there is a connection.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reservation, empty if there is no room
	 */
	public Optional<Reservation> reserve(long nowMillis) {
		return hasRoom(nowMillis) ? Optional.of(new Reservation()) : Optional.empty();
	}

	/**
	 * Room for one request. It has to be released unless it is used.
	 */
	public final class Reservation {

		private boolean held = true;

		private Reservation() {
			ColdRunner.this.reserved++;
		}

		/**
		 * Gives the room back, unless it was used.
		 */
		public void release() {
			if (this.held) {
				this.held = false;
				ColdRunner.this.reserved--;
			}
		}

		/**
		 * Counts the request, which is written now, and ends the reservation. The runner
		 * may have become cold, or the part smaller, since the reservation.
		 * @param nowMillis the time now, in monotonic milliseconds
		 * @return whether the request may be written
		 */
		public boolean use(long nowMillis) {
			boolean allowed = this.held && (!isCold() || countSent(nowMillis) < part(nowMillis));
			release();
			if (allowed && ColdRunner.this.allowance.isPresent()) {
				ColdRunner.this.sent.add(nowMillis);
			}
			return allowed;
		}

	}

}
