package org.catkingate.decisions.permits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.InstanceId;

/**
 * The permits of one gateway for one runner, and its demand for them. Permits expire
 * soon, so that few of them are used at the same time after a pause. Not safe for use by
 * several threads.
 */
final class PermitStock {

	/** The time after which a permit can no longer be used. */
	private static final long VALID_MILLIS = 250;

	/**
	 * The time for which a call counts as demand: longer than the interval at which a
	 * call that waits is decided on again.
	 */
	private static final long DEMAND_MILLIS = 60;

	/** The time after which an issuer that has not granted anything is asked again. */
	private static final long REQUEST_INTERVAL_MILLIS = 400;

	private static final int MAX_PERMITS = 32;

	private final Deque<Permit> permits = new ArrayDeque<>();

	/** The times of calls that could not be sent for want of a permit. */
	private final Deque<Long> demandMillis = new ArrayDeque<>();

	private final Map<InstanceId, Long> requestedAtMillis = new HashMap<>();

	void addDemand(long nowMillis) {
		if (this.demandMillis.size() == MAX_PERMITS) {
			this.demandMillis.removeFirst();
		}
		this.demandMillis.addLast(nowMillis);
	}

	/**
	 * Returns the number of permits that are needed beyond those that are there.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the number, 0 if there is no demand
	 */
	int missing(long nowMillis) {
		while (!this.demandMillis.isEmpty() && nowMillis - this.demandMillis.peekFirst() > DEMAND_MILLIS) {
			this.demandMillis.removeFirst();
		}
		return Math.max(0, this.demandMillis.size() - available(nowMillis));
	}

	int available(long nowMillis) {
		return (int) this.permits.stream().filter((permit) -> permit.untilMillis() > nowMillis).count();
	}

	/**
	 * Takes a permit.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the permit, empty if there is none
	 */
	Optional<Permit> take(long nowMillis) {
		Optional<Permit> taken = this.permits.stream().filter((permit) -> permit.untilMillis() > nowMillis).findFirst();
		taken.ifPresent((permit) -> {
			this.permits.remove(permit);
			this.demandMillis.pollFirst();
		});
		return taken;
	}

	void add(InstanceId issuer, int count, long nowMillis) {
		for (int i = 0; i < count; i++) {
			this.permits.addLast(new Permit(issuer, nowMillis + VALID_MILLIS));
		}
	}

	/**
	 * Removes the permits that have expired.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the number of them by issuer
	 */
	Map<InstanceId, Integer> removeExpired(long nowMillis) {
		Map<InstanceId, Integer> expired = new HashMap<>();
		while (!this.permits.isEmpty() && this.permits.peekFirst().untilMillis() <= nowMillis) {
			expired.merge(this.permits.removeFirst().issuer(), 1, Integer::sum);
		}
		return expired;
	}

	boolean isEmpty() {
		return this.permits.isEmpty();
	}

	/**
	 * Returns whether an issuer is to be asked now, and remembers that it is.
	 * @param issuer the issuer
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether no request to it is pending
	 */
	boolean startRequest(InstanceId issuer, long nowMillis) {
		Long last = this.requestedAtMillis.get(issuer);
		if (last != null && nowMillis - last < REQUEST_INTERVAL_MILLIS) {
			return false;
		}
		this.requestedAtMillis.put(issuer, nowMillis);
		return true;
	}

	void endRequest(InstanceId issuer) {
		this.requestedAtMillis.remove(issuer);
	}

	/**
	 * A permit to send one request.
	 *
	 * @param issuer the issuer that granted it
	 * @param untilMillis when it expires, in monotonic milliseconds
	 */
	record Permit(InstanceId issuer, long untilMillis) {

	}

}
