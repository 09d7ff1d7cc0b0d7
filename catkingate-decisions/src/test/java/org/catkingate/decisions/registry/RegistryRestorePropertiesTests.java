package org.catkingate.decisions.registry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.AccountName;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests of several {@link FollowReducer}s that exchange copies, with a
 * registry that is changed, cut off and restored at random times.
 */
class RegistryRestorePropertiesTests {

	private static final int TRIES = 150;

	private static final long STEP_MILLIS = 10;

	private static final long FAULTS_END_MILLIS = 30_000;

	/** Enough for outages, grace periods and watches to end. */
	private static final long END_MILLIS = FAULTS_END_MILLIS + 12_000;

	/** The time after its revocation up to which a key may be accepted. */
	private static final long REVOCATION_BOUND_MILLIS = 5000;

	private static final KeyAcceptance KEYS = new KeyAcceptance(REVOCATION_BOUND_MILLIS - 250);

	private static final int RUNNERS = 6;

	// Guards against views that stay different, configurations that go back and revoked
	// keys that are accepted after a restore.
	@Property(tries = TRIES)
	void allFollowersAgreeWithTheRegistryOnceEverythingIsWrittenAgain(@ForAll long seed) {
		checkAgreement(seed);
	}

	// Guards against a process that starts after a restore, reads an older configuration
	// and confirms it by the copy of a process that has the newer one at second hand.
	@Example
	void allFollowersAgreeWithTheRegistryForSeedsThatFailedBefore() {
		checkAgreement(9193);
		checkAgreement(1996);
	}

	private static void checkAgreement(long seed) {
		Simulation simulation = new Simulation(seed);
		while (simulation.now < END_MILLIS) {
			simulation.step();
		}
		simulation.followers.forEach((follower) -> {
			assertThat(follower.state.position()).as("seed %d", seed).isEqualTo(simulation.store.position());
			assertThat(follower.state.view()).as("seed %d", seed)
				.isEqualTo(RegistryView.of(simulation.store.position(), simulation.store.items.values()));
			assertThat(KEYS.canAccept(follower.ageMillis(simulation.now))).as("seed %d", seed).isTrue();
		});
	}

	private static RegistryItem configuration(long version, long revision) {
		return item("configuration", revision,
				new RegistryValue.Configuration(new ServingConfiguration(version, RouteTable.of(List.of()), Map.of(),
						Map.of("key-" + version, new RegisteredAccount(new AccountName("account"), 0, Set.of())),
						new CallerLimits(1, 1, 1, 1))));
	}

	private static RegistryItem runner(int number, long startedAt, long revision) {
		return item("runners/" + number, revision,
				new RegistryValue.Runner(new RegisteredRunner(new RunnerId("r" + number), startedAt,
						new ServiceName("songs"), new InetSocketAddress("127.0.0.1", 1 + number),
						new DataCentreName("a"), 4, false, Map.of(), 0)));
	}

	private static RegistryItem item(String key, long revision, RegistryValue value) {
		return new RegistryItem(key, revision, value, key.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * A registry that keeps copies of itself and is restored from one of them.
	 */
	private static final class Store {

		private SortedMap<String, RegistryItem> items = new TreeMap<>();

		private List<RegistryItem> history = new ArrayList<>();

		private long era = 1;

		private long revision = 1;

		private final SortedMap<Long, Backup> backups = new TreeMap<>();

		private long downUntil;

		RegistryPosition position() {
			return new RegistryPosition(this.era, this.revision);
		}

		void write(RegistryItem item) {
			this.revision = item.revision();
			this.history.add(item);
			if (item.isRemoved()) {
				this.items.remove(item.key());
			}
			else {
				this.items.put(item.key(), item);
			}
		}

		void backUp(long now) {
			this.backups.put(now, new Backup(new TreeMap<>(this.items), new ArrayList<>(this.history), this.revision));
		}

		void restore(long latest, long eras) {
			long newest = Math.max(latest, this.backups.firstKey());
			Backup backup = this.backups.get(this.backups.headMap(newest + 1).lastKey());
			this.backups.tailMap(newest + 1).clear();
			this.items = new TreeMap<>(backup.items());
			this.history = new ArrayList<>(backup.history());
			this.revision = backup.revision();
			this.era += eras;
		}

		private RegistryPage page(String after) {
			List<RegistryItem> rest = List.copyOf(this.items.tailMap(after + "\0").values());
			boolean more = rest.size() > 3;
			return new RegistryPage(more ? rest.subList(0, 3) : rest, more, position());
		}

		private List<RegistryItem> changesAfter(long after) {
			return this.history.stream().filter((item) -> item.revision() > after).toList();
		}

	}

	/**
	 * A copy of the registry.
	 *
	 * @param items the items
	 * @param history all changes
	 * @param revision the revision
	 */
	private record Backup(SortedMap<String, RegistryItem> items, List<RegistryItem> history, long revision) {

	}

	/**
	 * A call that the registry has not responded to.
	 *
	 * @param effect the call
	 * @param requestedAt when it was requested
	 * @param readyAt when the registry responds at the latest
	 */
	private record PendingCall(FollowEffect effect, Moment requestedAt, long readyAt) {

	}

	/**
	 * An event on its way to a follower.
	 *
	 * @param at when it arrives
	 * @param event the event
	 */
	private record Arrival(long at, Event event) {

	}

	/**
	 * A process that follows the registry.
	 */
	private static final class Follower {

		private FollowState state;

		private final List<PendingCall> calls = new ArrayList<>();

		private final List<Arrival> arrivals = new ArrayList<>();

		private long cutUntil;

		private Moment confirmedAt = Moment.NEVER;

		private long configuration;

		Follower(long seed) {
			this.state = FollowState.initial(FollowTimes.forAllItems(1500), seed);
		}

		long ageMillis(long now) {
			return this.confirmedAt.ageMillis(new Moment(now, 0));
		}

	}

	/**
	 * The registry, those who write to it and those who follow it. The wall clock stands
	 * still, since it has no meaning here.
	 */
	private static final class Simulation {

		private final Random random;

		private final FollowReducer reducer = FollowReducer.create();

		private final Store store = new Store();

		private final List<Follower> followers = new ArrayList<>();

		private final SortedMap<Long, List<Runnable>> planned = new TreeMap<>();

		/** When each version was acknowledged first, which revoked the key before. */
		private final Map<Long, Long> acknowledgedAt = new HashMap<>();

		private final Map<Integer, Long> runners = new HashMap<>();

		private long version;

		private long now = 1000;

		Simulation(long seed) {
			this.random = new Random(seed);
			publish();
			for (int i = 0; i < RUNNERS; i++) {
				startRunner(i);
			}
			this.store.backUp(this.now);
			for (int i = 0; i < 4; i++) {
				this.followers.add(new Follower(seed + i));
			}
			planFaults();
		}

		private void planFaults() {
			for (long at = 3000; at < FAULTS_END_MILLIS; at += 300 + this.random.nextInt(900)) {
				long time = at;
				switch (this.random.nextInt(6)) {
					case 0, 1 -> plan(time, this::publish);
					case 2 -> plan(time, () -> startRunner(this.random.nextInt(RUNNERS)));
					case 3 -> plan(time, () -> removeRunner(this.random.nextInt(RUNNERS)));
					case 4 -> plan(time, () -> cut(this.followers.get(this.random.nextInt(this.followers.size()))));
					default -> plan(time, this::restartAFollower);
				}
			}
			for (long at = 4000; at < FAULTS_END_MILLIS; at += 1500 + this.random.nextInt(8000)) {
				plan(at, this::restore);
			}
		}

		private void plan(long at, Runnable action) {
			this.planned.computeIfAbsent(at, (key) -> new ArrayList<>()).add(action);
		}

		private boolean isDown() {
			return this.now < this.store.downUntil;
		}

		private void publish() {
			if (isDown()) {
				return;
			}
			this.version++;
			this.store.write(configuration(this.version, this.store.revision + 1));
			this.acknowledgedAt.put(this.version, this.now);
		}

		private void startRunner(int number) {
			if (!isDown()) {
				this.runners.put(number, this.now);
				this.store.write(runner(number, this.now, this.store.revision + 1));
			}
		}

		private void removeRunner(int number) {
			this.runners.remove(number);
			if (!isDown() && this.store.items.containsKey("runners/" + number)) {
				this.store.write(new RegistryItem("runners/" + number, this.store.revision + 1, null));
			}
		}

		private void cut(Follower follower) {
			follower.cutUntil = this.now + this.random.nextInt(5000);
		}

		private void restartAFollower() {
			int index = this.random.nextInt(this.followers.size());
			Follower restarted = new Follower(this.random.nextLong());
			restarted.cutUntil = this.followers.get(index).cutUntil;
			this.followers.set(index, restarted);
		}

		private void restore() {
			if (isDown()) {
				return;
			}
			this.store.restore(this.now - this.random.nextInt(4000), 1 + this.random.nextInt(3));
			this.store.downUntil = this.now + this.random.nextInt(1500);
			long back = this.store.downUntil;
			if (this.random.nextBoolean()) {
				this.followers.subList(0, 2).forEach((follower) -> follower.cutUntil = back + 3000);
			}
			if (this.random.nextBoolean()) {
				plan(back + this.random.nextInt(30) * STEP_MILLIS, this::restartAFollower);
			}
			plan(back + this.random.nextInt(80) * STEP_MILLIS, this::writeConfigurationAgain);
			for (int i = 0; i < RUNNERS; i++) {
				int number = i;
				plan(back + this.random.nextInt(180) * STEP_MILLIS, () -> writeRunnerAgain(number));
			}
		}

		private void writeConfigurationAgain() {
			if (!isDown() && held() < this.version) {
				this.store.write(configuration(this.version, this.store.revision + 1));
			}
		}

		private long held() {
			return (this.store.items.get("configuration").value() instanceof RegistryValue.Configuration held)
					? held.configuration().version() : 0;
		}

		private void writeRunnerAgain(int number) {
			if (isDown()) {
				return;
			}
			if (this.runners.containsKey(number)) {
				this.store.write(runner(number, this.runners.get(number), this.store.revision + 1));
			}
			else if (this.store.items.containsKey("runners/" + number)) {
				this.store.write(new RegistryItem("runners/" + number, this.store.revision + 1, null));
			}
		}

		void step() {
			this.now += STEP_MILLIS;
			SortedMap<Long, List<Runnable>> due = this.planned.headMap(this.now + 1);
			List<Runnable> actions = due.values().stream().flatMap(List::stream).toList();
			due.clear();
			actions.forEach(Runnable::run);
			if (this.now % 200 == 0 && !isDown()) {
				this.store.backUp(this.now);
			}
			for (Follower follower : this.followers) {
				respond(follower);
				deliver(follower);
				if (this.now % 100 == 0) {
					reduce(follower, new FollowEvent.Ticked());
				}
				check(follower);
			}
		}

		private void respond(Follower follower) {
			for (PendingCall pending : List.copyOf(follower.calls)) {
				Event response = response(follower, pending);
				if (response != null) {
					follower.calls.remove(pending);
					// some responses are late, at times until after the next restore
					boolean late = this.now < FAULTS_END_MILLIS && this.random.nextInt(20) == 0;
					long delay = late ? this.random.nextInt(2500) : this.random.nextInt(30);
					follower.arrivals.add(new Arrival(this.now + delay, response));
				}
			}
		}

		private Event response(Follower follower, PendingCall pending) {
			boolean reachable = !isDown() && this.now >= follower.cutUntil;
			if (pending.effect() instanceof FollowEffect.ReadPage read) {
				return reachable
						? new FollowEvent.PageReceived(read.call(), pending.requestedAt(),
								this.store.page(read.afterKey()))
						: new FollowEvent.CallFailed(read.call(), false, "cut off");
			}
			FollowEffect.Watch watch = (FollowEffect.Watch) pending.effect();
			if (!reachable) {
				return new FollowEvent.CallFailed(watch.call(), false, "cut off");
			}
			if (watch.afterRevision() > this.store.revision) {
				return new FollowEvent.CallFailed(watch.call(), true, "no such revision");
			}
			List<RegistryItem> changes = this.store.changesAfter(watch.afterRevision());
			return (changes.isEmpty() && this.now < pending.readyAt()) ? null : new FollowEvent.ChangesReceived(
					watch.call(), pending.requestedAt(), new RegistryPage(changes, false, this.store.position()));
		}

		private void deliver(Follower follower) {
			for (Arrival arrival : List.copyOf(follower.arrivals)) {
				if (arrival.at() <= this.now) {
					follower.arrivals.remove(arrival);
					reduce(follower, arrival.event());
				}
			}
		}

		private void reduce(Follower follower, Event event) {
			ReductionResult<FollowState> result = this.reducer.reduce(follower.state, this.now, event);
			follower.state = result.state();
			result.effects().forEach((effect) -> execute(follower, effect));
		}

		private void execute(Follower follower, Effect effect) {
			Moment moment = new Moment(this.now, 0);
			if (effect instanceof FollowEffect.Watch watch) {
				follower.calls.add(new PendingCall(watch, moment, this.now + watch.waitMillis()));
			}
			else if (effect instanceof FollowEffect.ReadPage read) {
				follower.calls.add(new PendingCall(read, moment, this.now));
			}
			else if (effect instanceof FollowEffect.Confirm confirm) {
				if (confirm.at().monotonicMillis() > follower.confirmedAt.monotonicMillis()) {
					follower.confirmedAt = confirm.at();
				}
			}
			else if (effect instanceof FollowEffect.RequestCopy request) {
				Follower other = this.followers.get(this.random.nextInt(this.followers.size()));
				if (other != follower) {
					Moment confirmedAt = other.confirmedAt;
					follower.arrivals.add(new Arrival(this.now + 1 + this.random.nextInt(60),
							new FollowEvent.CopyReceived(confirmedAt, other.state.deltaSince(request.after()))));
				}
			}
		}

		private void check(Follower follower) {
			long inForce = follower.state.view().configuration().map(ServingConfiguration::version).orElse(0L);
			assertThat(inForce).as("configuration goes back").isGreaterThanOrEqualTo(follower.configuration);
			follower.configuration = inForce;
			Long revokedAt = this.acknowledgedAt.get(inForce + 1);
			if (inForce > 0 && revokedAt != null && KEYS.canAccept(follower.ageMillis(this.now))) {
				assertThat(this.now - revokedAt)
					.as("time since the revocation of a key that is accepted at %d", this.now)
					.isLessThanOrEqualTo(REVOCATION_BOUND_MILLIS);
			}
		}

	}

}
