package org.catkingate.decisions.competition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Function;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;

/**
 * The calls that wait for one service, ordered by whether they can still be on time, by
 * urgency, by what their account has received, and by the time since the caller first
 * issued them. The last applies only among calls of the same account, so that a caller
 * that states a shorter time than it has does not overtake other accounts. Not safe for
 * use by several threads.
 *
 * @param <T> the type of the calls
 * @since 0.1
 */
public final class WaitingQueue<T> {

	private static final double MILLIS_PER_SECOND = 1000;

	private final Map<GroupKey, Group<T>> groups = new HashMap<>();

	private int size;

	/**
	 * Returns the number of waiting calls.
	 * @return the number of calls
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the number of waiting calls that are expected to be late.
	 * @return the number of calls
	 */
	public int lateSize() {
		return this.groups.values().stream().mapToInt((group) -> group.late.size()).sum();
	}

	/**
	 * Plans the wait of a call whose turn follows from the rate at which calls are sent.
	 * @param call the call
	 * @param onTimeMillis the time for which sending it can make it on time, in
	 * milliseconds
	 * @param maxMillis the time for which sending it helps, in milliseconds
	 * @param competition what has been sent recently
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return how it waits
	 */
	public WaitPlan plan(ServiceCompetition.Competitor call, long onTimeMillis, long maxMillis,
			ServiceCompetition competition, long nowMillis) {
		double usage = competition.usage(call.urgency(), call.account(), nowMillis);
		int aheadOnTime = 0;
		int aheadLate = 0;
		for (Map.Entry<GroupKey, Group<T>> entry : this.groups.entrySet()) {
			GroupKey key = entry.getKey();
			Group<T> group = entry.getValue();
			boolean before = isBefore(key, competition.usage(key.urgency(), key.account(), nowMillis), call.urgency(),
					usage);
			aheadOnTime += before ? group.onTime.size() : 0;
			aheadLate += group.onTime.size() + (before ? group.late.size() : 0);
		}
		double millisOnTime = aheadOnTime * MILLIS_PER_SECOND / competition.sentPerSecond(call.urgency(), nowMillis);
		if (millisOnTime < onTimeMillis) {
			return new WaitPlan(true, onTimeMillis, (long) millisOnTime);
		}
		double millisLate = aheadLate * MILLIS_PER_SECOND / competition.sentLatePerSecond(nowMillis);
		return new WaitPlan(millisLate < maxMillis, 0, (long) millisLate);
	}

	private static boolean isBefore(GroupKey group, double groupUsage, Urgency urgency, double usage) {
		int order = group.urgency().compareTo(urgency);
		return (order != 0) ? order < 0 : groupUsage <= usage;
	}

	/**
	 * Adds a call. The caller of this method bounds the number of calls.
	 * @param entry the call
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void add(Entry<T> entry, long nowMillis) {
		Group<T> group = this.groups.computeIfAbsent(GroupKey.of(entry), (key) -> new Group<>());
		(entry.isOnTime(nowMillis) ? group.onTime : group.late).add(entry);
		this.size++;
	}

	/**
	 * Removes a call.
	 * @param entry the call
	 * @return whether it was waiting
	 */
	public boolean remove(Entry<T> entry) {
		Group<T> group = this.groups.get(GroupKey.of(entry));
		if (group == null || !(group.onTime.remove(entry) || group.late.remove(entry))) {
			return false;
		}
		this.size--;
		if (group.isEmpty()) {
			this.groups.remove(GroupKey.of(entry));
		}
		return true;
	}

	/**
	 * Returns the call that is to be sent first.
	 * @param excluded the residencies whose calls have no place now
	 * @param competition what the accounts have received
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the call, empty if none is left
	 */
	public Optional<Turn<T>> first(Collection<Residency> excluded, ServiceCompetition competition, long nowMillis) {
		Entry<T> first = null;
		boolean firstLate = false;
		double firstUsage = 0;
		for (Map.Entry<GroupKey, Group<T>> group : this.groups.entrySet()) {
			if (excluded.contains(group.getKey().residency())) {
				continue;
			}
			Entry<T> candidate = group.getValue().first(nowMillis);
			boolean late = group.getValue().onTime.isEmpty()
					&& !competition.isServedLessThanLessUrgent(candidate.urgency(), nowMillis);
			double usage = competition.usage(candidate.urgency(), candidate.account(), nowMillis);
			if (first == null || ((late != firstLate) ? firstLate : isBefore(candidate, usage, first, firstUsage))) {
				first = candidate;
				firstLate = late;
				firstUsage = usage;
			}
		}
		return (first != null) ? Optional.of(new Turn<>(first, firstLate)) : Optional.empty();
	}

	private static boolean isBefore(Entry<?> candidate, double usage, Entry<?> other, double otherUsage) {
		int urgency = candidate.urgency().compareTo(other.urgency());
		if (urgency != 0) {
			return urgency < 0;
		}
		return (usage != otherUsage) ? usage < otherUsage : Entry.OLDEST_FIRST.compare(candidate, other) < 0;
	}

	/**
	 * Removes the calls that sending does not help any more, or that are not expected to
	 * be sent while it still helps.
	 * @param competition what has been sent recently
	 * @param readyInMillis returns the time until a runner of a residency is expected to
	 * serve, in milliseconds; empty if one does or it is unknown
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the calls
	 */
	public List<Entry<T>> removeHopeless(ServiceCompetition competition,
			Function<Residency, OptionalLong> readyInMillis, long nowMillis) {
		List<Entry<T>> removed = new ArrayList<>();
		List<Map.Entry<GroupKey, Group<T>>> ordered = new ArrayList<>(this.groups.entrySet());
		ordered.sort(Comparator.comparing((Map.Entry<GroupKey, Group<T>> entry) -> entry.getKey().urgency())
			.thenComparingDouble(
					(entry) -> competition.usage(entry.getKey().urgency(), entry.getKey().account(), nowMillis)));
		int ahead = 0;
		for (Map.Entry<GroupKey, Group<T>> entry : ordered) {
			Group<T> group = entry.getValue();
			double rate = competition.sentPerSecond(entry.getKey().urgency(), nowMillis);
			ahead += group.demote(ahead, rate, nowMillis);
		}
		double lateRate = competition.sentLatePerSecond(nowMillis);
		for (Map.Entry<GroupKey, Group<T>> entry : ordered) {
			ahead += entry.getValue().removeHopeless(ahead, lateRate, nowMillis, removed);
		}
		Map<Residency, OptionalLong> ready = new HashMap<>();
		for (Map.Entry<GroupKey, Group<T>> entry : ordered) {
			ready.computeIfAbsent(entry.getKey().residency(), readyInMillis)
				.ifPresent((millis) -> entry.getValue().removeUntil(nowMillis + millis, removed));
		}
		this.size -= removed.size();
		this.groups.values().removeIf(Group::isEmpty);
		return removed;
	}

	/**
	 * A waiting call.
	 *
	 * @param call the call
	 * @param urgency its urgency
	 * @param account the account whose share it counts toward, null for none
	 * @param residency where it may be served
	 * @param issuedAtMillis when the caller issued it first, as far as can be told from
	 * the time it has left, in monotonic milliseconds
	 * @param onTimeUntilMillis the latest moment at which sending it can make it on time,
	 * in monotonic milliseconds
	 * @param latestMillis the latest moment at which sending it helps, in monotonic
	 * milliseconds
	 * @param followsRate whether the rate of recent sends says when it is its turn; not
	 * while it waits for runners to load
	 * @param <T> the type of the call
	 */
	public record Entry<T>(T call, Urgency urgency, AccountName account, Residency residency, long issuedAtMillis,
			long onTimeUntilMillis, long latestMillis, boolean followsRate) {

		private static final Comparator<Entry<?>> OLDEST_FIRST = Comparator.comparingLong(Entry::issuedAtMillis);

		public Entry {
			Objects.requireNonNull(call, "call must not be null");
			Objects.requireNonNull(urgency, "urgency must not be null");
			Objects.requireNonNull(residency, "residency must not be null");
		}

		/**
		 * Returns whether the call can still be on time.
		 * @param nowMillis the time now, in monotonic milliseconds
		 * @return whether it can
		 */
		public boolean isOnTime(long nowMillis) {
			return nowMillis < this.onTimeUntilMillis;
		}

	}

	/**
	 * The call whose turn it is.
	 *
	 * @param entry the call
	 * @param late whether its response is expected to be late, so that it may only use
	 * capacity that other calls leave free
	 * @param <T> the type of the call
	 */
	public record Turn<T>(Entry<T> entry, boolean late) {

	}

	/**
	 * What the calls of a group have in common.
	 *
	 * @param urgency the urgency
	 * @param account the account, null for none
	 * @param residency where they may be served
	 */
	private record GroupKey(Urgency urgency, AccountName account, Residency residency) {

		private static GroupKey of(Entry<?> entry) {
			return new GroupKey(entry.urgency(), entry.account(), entry.residency());
		}

	}

	/**
	 * The calls of a group.
	 *
	 * @param <T> the type of the calls
	 */
	private static final class Group<T> {

		private final Queue<Entry<T>> onTime = new PriorityQueue<>(Entry.OLDEST_FIRST);

		private final Queue<Entry<T>> late = new PriorityQueue<>(Entry.OLDEST_FIRST);

		private boolean isEmpty() {
			return this.onTime.isEmpty() && this.late.isEmpty();
		}

		private Entry<T> first(long nowMillis) {
			while (!this.onTime.isEmpty() && !this.onTime.peek().isOnTime(nowMillis)) {
				this.late.add(this.onTime.remove());
			}
			return this.onTime.isEmpty() ? this.late.peek() : this.onTime.peek();
		}

		/*
		 * Moves the calls that are not expected to be on time to the late ones, and
		 * returns the number of the others.
		 */
		private int demote(int ahead, double callsPerSecond, long nowMillis) {
			int kept = 0;
			for (Entry<T> entry : sorted(this.onTime)) {
				long leftMillis = entry.onTimeUntilMillis() - nowMillis;
				if (leftMillis <= 0 || (entry.followsRate() && !isInTime(ahead + kept, callsPerSecond, leftMillis))) {
					this.onTime.remove(entry);
					this.late.add(entry);
				}
				else {
					kept++;
				}
			}
			return kept;
		}

		private int removeHopeless(int ahead, double callsPerSecond, long nowMillis, List<Entry<T>> removed) {
			int kept = 0;
			for (Entry<T> entry : sorted(this.late)) {
				long leftMillis = entry.latestMillis() - nowMillis;
				if (leftMillis <= 0 || (entry.followsRate() && !isInTime(ahead + kept, callsPerSecond, leftMillis))) {
					this.late.remove(entry);
					removed.add(entry);
				}
				else {
					kept++;
				}
			}
			return kept;
		}

		/*
		 * Removes the calls that wait for runners to load and that have to be sent before
		 * these serve.
		 */
		private void removeUntil(long readyAtMillis, List<Entry<T>> removed) {
			for (Queue<Entry<T>> part : List.of(this.onTime, this.late)) {
				part.removeIf(
						(entry) -> !entry.followsRate() && entry.latestMillis() <= readyAtMillis && removed.add(entry));
			}
		}

		private static <T> List<Entry<T>> sorted(Queue<Entry<T>> entries) {
			return entries.stream().sorted(Entry.OLDEST_FIRST).toList();
		}

		private static boolean isInTime(int ahead, double callsPerSecond, long leftMillis) {
			return ahead * MILLIS_PER_SECOND < callsPerSecond * leftMillis;
		}

	}

	/**
	 * How a call waits.
	 *
	 * @param allowed whether it is expected to be sent while that helps
	 * @param onTimeMillis the time for which it can be on time, in milliseconds; 0 if it
	 * is expected to be late
	 * @param aheadMillis the time until the calls ahead of it are expected to be sent, in
	 * milliseconds
	 */
	public record WaitPlan(boolean allowed, long onTimeMillis, long aheadMillis) {

	}

}
