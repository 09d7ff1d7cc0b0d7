package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A view of the agents of one service, by the instance list of the platform and the group
 * of the service, whether or not the agents are reachable. It determines the home of each
 * key. Immutable and safe for use by any thread.
 *
 * @param expectedRunners the number of runners that operators have configured for the
 * service; 0 if they have not
 * @param members the agents, sorted and without duplicates
 * @since 0.1
 */
public record HomeView(int expectedRunners, List<KeyHome> members) {

	public HomeView {
		members = members.stream().sorted().distinct().toList();
	}

	/**
	 * Creates a view.
	 * @param expectedRunners the number of runners configured for the service; 0 if none
	 * is
	 * @param members the agents in any order
	 * @return the view, never null
	 */
	public static HomeView of(int expectedRunners, Collection<KeyHome> members) {
		return new HomeView(expectedRunners, List.copyOf(members));
	}

	/**
	 * Returns the home of a key: the first agent by rendezvous hash.
	 * @param scopedKey the key
	 * @return its home, or empty if there is no agent
	 */
	public Optional<KeyHome> home(ScopedKey scopedKey) {
		return this.members.stream().max(Comparator.comparingLong((member) -> weight(member, scopedKey)));
	}

	private static long weight(KeyHome member, ScopedKey scopedKey) {
		return StableHash.of(member.text(), scopedKey.account().value(), scopedKey.service().value(), scopedKey.key());
	}

	boolean isHome(KeyHome own, ScopedKey scopedKey) {
		return home(scopedKey).filter(own::equals).isPresent();
	}

	/**
	 * Returns a hash that identifies the view between processes.
	 * @return a hash of the whole view
	 */
	public long fingerprint() {
		String[] texts = new String[this.members.size() + 1];
		texts[0] = Integer.toString(this.expectedRunners);
		for (int index = 0; index < this.members.size(); index++) {
			texts[index + 1] = this.members.get(index).text();
		}
		return StableHash.of(texts);
	}

}
