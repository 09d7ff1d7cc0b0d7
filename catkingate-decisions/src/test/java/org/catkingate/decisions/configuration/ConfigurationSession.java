package org.catkingate.decisions.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationBundle;

/**
 * Applies a sequence of events to the reducer and records a transcript of the events and
 * their effects. Not thread-safe.
 */
final class ConfigurationSession {

	private final ConfigurationReducer reducer = ConfigurationReducer.create();

	private final StringBuilder transcript = new StringBuilder();

	private final List<Effect> effects = new ArrayList<>();

	private final List<Long> times = new ArrayList<>();

	private long now = 1000;

	private ConfigurationState state = ConfigurationState.starting(1, this.now);

	/**
	 * Creates a publication with one part for each group.
	 * @param revision its revision
	 * @param groups the names of the groups
	 * @return the publication
	 */
	static ConfigurationBundle bundle(long revision, String... groups) {
		return ConfigurationBundle.of(revision,
				Stream.of(groups).map((name) -> "[group " + name + "]\nselector = *\n").toList());
	}

	static ConfigurationSession started() {
		ConfigurationSession session = new ConfigurationSession();
		session.apply(new ConfigurationEvent.ContactsChanged(true, Set.of()));
		return session.apply(new ConfigurationEvent.ReadPaceChanged(ReadPace.CLOSE, 10));
	}

	static ConfigurationSession startingWith(boolean complete, Long... contacts) {
		return new ConfigurationSession().apply(new ConfigurationEvent.ContactsChanged(complete, Set.of(contacts)));
	}

	ConfigurationSession apply(ConfigurationEvent event) {
		this.transcript.append(this.now).append(' ').append(format(event)).append('\n');
		reduce(event);
		return this;
	}

	ConfigurationSession publish(ConfigurationBundle bundle) {
		apply(new ConfigurationEvent.HeadRead(bundle.version().revision(), bundle.head()));
		bundle.parts().forEach((digest, part) -> apply(new ConfigurationEvent.PartRead(digest, part)));
		return this;
	}

	ConfigurationSession offer(long connection, ConfigurationBundle bundle) {
		return apply(new ConfigurationEvent.VersionOffered(connection, 0, bundle.version()));
	}

	ConfigurationSession send(long connection, ConfigurationBundle bundle) {
		return apply(new ConfigurationEvent.VersionReceived(connection, bundle.head(),
				List.copyOf(bundle.parts().values())));
	}

	ConfigurationSession advance(long millis) {
		this.transcript.append(this.now).append(" advance ").append(millis).append(" ms\n");
		long end = this.now + millis;
		while (this.now < end) {
			this.now += Math.min(250, end - this.now);
			reduce(new ConfigurationEvent.Ticked());
		}
		return this;
	}

	ConfigurationSession advanceWhileTheServiceIsDown(long millis) {
		return advanceWith(millis, new ConfigurationEvent.HeadFailed("down"));
	}

	ConfigurationSession advanceWhileTheServiceResponds(long millis) {
		return advanceWith(millis, new ConfigurationEvent.HeadUnchanged());
	}

	private ConfigurationSession advanceWith(long millis, ConfigurationEvent response) {
		long end = this.now + millis;
		while (this.now < end) {
			advance(250);
			if (this.state.headReads().isReading()) {
				apply(response);
			}
		}
		return this;
	}

	private void reduce(ConfigurationEvent event) {
		ReductionResult<ConfigurationState> result = this.reducer.reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.addAll(result.effects());
		result.effects().forEach((effect) -> this.times.add(this.now));
		result.effects()
			.forEach((effect) -> this.transcript.append(this.now).append("   -> ").append(format(effect)).append('\n'));
	}

	private static String format(Object item) {
		if (item instanceof ConfigurationEvent.HeadRead read) {
			return "HeadRead[index=" + read.index() + ", " + firstLines(read.head()) + "]";
		}
		if (item instanceof ConfigurationEvent.PartRead read) {
			return "PartRead[" + firstLines(read.bytes()) + "]";
		}
		if (item instanceof ConfigurationEvent.VersionReceived received) {
			return "VersionReceived[connection=" + received.connection() + ", " + firstLines(received.head())
					+ ", parts=" + received.parts().size() + "]";
		}
		if (item instanceof ConfigurationEffect.SendVersion send) {
			return "SendVersion[connection=" + send.connection() + ", version=" + send.bundle().version() + ", held="
					+ send.held().size() + "]";
		}
		if (item instanceof ConfigurationEffect.Adopted adopted) {
			return "Adopted[" + adopted.configuration().version() + "]";
		}
		return item.toString();
	}

	private static String firstLines(byte[] bytes) {
		String[] lines = new String(bytes, StandardCharsets.UTF_8).split("\n");
		return String.join(" ", Arrays.copyOf(lines, Math.min(2, lines.length)));
	}

	long revision() {
		return this.state.version().revision();
	}

	ConfigurationState state() {
		return this.state;
	}

	<E extends Effect> List<E> effects(Class<E> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	List<Long> timesOf(Class<? extends Effect> type) {
		List<Long> found = new ArrayList<>();
		for (int i = 0; i < this.effects.size(); i++) {
			if (type.isInstance(this.effects.get(i))) {
				found.add(this.times.get(i));
			}
		}
		return found;
	}

	List<Digest> partsRead() {
		return effects(ConfigurationEffect.ReadPart.class).stream().map(ConfigurationEffect.ReadPart::part).toList();
	}

	String transcript() {
		return this.transcript.toString();
	}

}
