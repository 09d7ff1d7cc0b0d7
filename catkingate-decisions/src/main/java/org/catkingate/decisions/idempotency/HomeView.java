package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The agents of one service as a process sees them: by the platform's list and the
 * service's group, not by who can be reached. It decides the home of each key. Immutable
 * and safe for use by any thread.
 *
 * @param expectedRunners how many runners operators mean the service to have, 0 if they
 * do not say
 * @param members the agents, in order and without repetition
 * @since 0.1
 */
public record HomeView(int expectedRunners, List<KeyHome> members) {

	public HomeView {
		members = members.stream().sorted().distinct().toList();
	}

	/**
	 * Makes a view.
	 * @param expectedRunners how many runners the service is meant to have, 0 if unsaid
	 * @param members the agents in any order
	 * @return the view, never null
	 */
	public static HomeView of(int expectedRunners, Collection<KeyHome> members) {
		return new HomeView(expectedRunners, List.copyOf(members));
	}

	/**
	 * Finds the home of a key: the first agent by rendezvous hash.
	 * @param scope the key
	 * @return its home, or empty if there is no agent
	 */
	public Optional<KeyHome> home(KeyScope scope) {
		return this.members.stream().max(Comparator.comparingLong((member) -> weight(member, scope)));
	}

	private static long weight(KeyHome member, KeyScope scope) {
		return StableHash.of(member.text(), scope.account().value(), scope.service().value(), scope.key());
	}

	boolean isHome(KeyHome own, KeyScope scope) {
		return home(scope).filter(own::equals).isPresent();
	}

	/**
	 * Returns a number that stands for the view between processes.
	 * @return a hash of all that is in it
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
