package org.catkingate.decisions.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.published.ConfigurationBundle;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests for {@link ConfigurationReducer} with shuffled, delayed,
 * duplicated and lost events.
 */
class ConfigurationPropertiesTests {

	private static final int TRIES = 300;

	private static final List<ConfigurationBundle> PUBLICATIONS = publications();

	private static final ConfigurationVersion HIGHEST = PUBLICATIONS.stream()
		.map(ConfigurationBundle::version)
		.max(Comparator.naturalOrder())
		.orElseThrow();

	private static List<ConfigurationBundle> publications() {
		List<ConfigurationBundle> bundles = new ArrayList<>();
		LongStream.rangeClosed(1, 4).forEach((revision) -> {
			bundles.add(ConfigurationSession.bundle(revision, "shared", "of-" + revision));
			bundles.add(ConfigurationSession.bundle(revision, "shared", "raced-" + revision));
		});
		return bundles;
	}

	@Property(tries = TRIES)
	void theVersionInForceNeverDecreasesAndIsAlwaysComplete(@ForAll long seed) {
		Random random = new Random(seed);
		List<ConfigurationEvent> events = eventsInAnyOrder(random);
		ConfigurationReducer reducer = ConfigurationReducer.create();
		ConfigurationState state = ConfigurationState.starting(seed, 1);
		long now = 1;
		for (ConfigurationEvent event : events) {
			now += random.nextInt(400);
			ReductionResult<ConfigurationState> result = reducer.reduce(state, now, event);
			assertThat(state.version().isHigherThan(result.state().version())).isFalse();
			state = result.state();
			if (state.inForce() != null) {
				assertThat(state.inForce().bundle().parts()).hasSize(2).doesNotContainValue(null);
				assertThat(state.configuration().groups()).hasSize(2);
			}
		}
	}

	private static List<ConfigurationEvent> eventsInAnyOrder(Random random) {
		List<ConfigurationEvent> events = new ArrayList<>();
		for (ConfigurationBundle bundle : PUBLICATIONS) {
			long connection = random.nextInt(4);
			events.add(new ConfigurationEvent.HeadRead(random.nextInt(9), bundle.head()));
			events.add(new ConfigurationEvent.VersionOffered(connection, random.nextInt(3), bundle.version()));
			events.add(new ConfigurationEvent.VersionReceived(connection, bundle.head(),
					List.copyOf(bundle.parts().values())));
			events.add(new ConfigurationEvent.PeerDisconnected(connection));
			events.add(new ConfigurationEvent.HeadFailed("any"));
			bundle.parts().forEach((digest, part) -> {
				events.add(new ConfigurationEvent.PartRead(digest, part));
				events.add(new ConfigurationEvent.PartFailed(digest, "any"));
			});
		}
		events.addAll(List.copyOf(events));
		Collections.nCopies(60, new ConfigurationEvent.Ticked()).forEach(events::add);
		Collections.shuffle(events, random);
		return events.subList(0, random.nextInt(events.size()));
	}

	@Property(tries = TRIES)
	void allProcessesConvergeEvenIfOnlyOneReachesTheService(@ForAll long seed,
			@ForAll @IntRange(min = 2, max = 6) int size, @ForAll @IntRange(max = 60) int lossPercent) {
		Random random = new Random(seed);
		Chain chain = new Chain(size, random);
		for (int i = 0; i < 200; i++) {
			chain.step(lossPercent, PUBLICATIONS.get(random.nextInt(PUBLICATIONS.size())));
		}
		ConfigurationBundle last = PUBLICATIONS.stream()
			.filter((bundle) -> bundle.version().equals(HIGHEST))
			.findAny()
			.orElseThrow();
		for (int i = 0; i < 2000 && !chain.hasConverged(); i++) {
			chain.step(0, last);
		}
		assertThat(chain.versions()).containsOnly(HIGHEST);
	}

	/**
	 * A chain of processes, each connected to the next. Messages between them are
	 * delivered in any order; some are duplicated or lost. Only the first process reaches
	 * the service.
	 */
	private static final class Chain {

		private final ConfigurationReducer reducer = ConfigurationReducer.create();

		private final List<ConfigurationState> states = new ArrayList<>();

		private final List<Delivery> deliveries = new ArrayList<>();

		private final Random random;

		private long now = 1;

		private Chain(int size, Random random) {
			this.random = random;
			for (int i = 0; i < size; i++) {
				this.states.add(ConfigurationState.starting(random.nextLong(), 1));
			}
		}

		private void step(int lossPercent, ConfigurationBundle served) {
			this.now += 50;
			serve(served);
			for (int i = 0; i < this.states.size(); i++) {
				reduce(i, new ConfigurationEvent.Ticked());
				announce(i, i + 1, lossPercent);
				announce(i, i - 1, lossPercent);
			}
			for (int i = this.deliveries.size() / 2; i > 0; i--) {
				int index = this.random.nextInt(this.deliveries.size());
				boolean isDuplicated = this.random.nextInt(100) < lossPercent / 2;
				Delivery delivery = isDuplicated ? this.deliveries.get(index) : this.deliveries.remove(index);
				reduce(delivery.to(), delivery.event());
			}
		}

		private void serve(ConfigurationBundle served) {
			reduce(0, new ConfigurationEvent.HeadRead(1, served.head()));
			served.parts().forEach((digest, part) -> reduce(0, new ConfigurationEvent.PartRead(digest, part)));
		}

		private void announce(int from, int to, int lossPercent) {
			if (this.random.nextInt(10) == 0) {
				send(to, new ConfigurationEvent.VersionOffered(from, 0, this.states.get(from).version()), lossPercent);
			}
		}

		private void send(int to, ConfigurationEvent event, int lossPercent) {
			if (to >= 0 && to < this.states.size() && this.random.nextInt(100) >= lossPercent) {
				this.deliveries.add(new Delivery(to, event));
			}
		}

		private void reduce(int process, ConfigurationEvent event) {
			ConfigurationState before = this.states.get(process);
			ReductionResult<ConfigurationState> result = this.reducer.reduce(before, this.now, event);
			assertThat(before.version().isHigherThan(result.state().version())).isFalse();
			this.states.set(process, result.state());
			result.effects().forEach((effect) -> execute(process, effect));
		}

		private void execute(int process, Effect effect) {
			if (effect instanceof ConfigurationEffect.PullVersion pull) {
				send((int) pull.connection(),
						new ConfigurationEvent.VersionRequested(process, pull.version(), pull.held()), 0);
			}
			else if (effect instanceof ConfigurationEffect.SendVersion sent) {
				List<byte[]> parts = new ArrayList<>();
				sent.bundle().parts().forEach((digest, part) -> {
					if (!sent.held().contains(digest)) {
						parts.add(part);
					}
				});
				send((int) sent.connection(),
						new ConfigurationEvent.VersionReceived(process, sent.bundle().head(), parts), 0);
			}
		}

		private List<ConfigurationVersion> versions() {
			return this.states.stream().map(ConfigurationState::version).toList();
		}

		private boolean hasConverged() {
			return versions().stream().allMatch(HIGHEST::equals);
		}

		/**
		 * A message in transit.
		 *
		 * @param to the index of the receiver
		 * @param event the event that the message causes there
		 */
		private record Delivery(int to, ConfigurationEvent event) {

		}

	}

}
