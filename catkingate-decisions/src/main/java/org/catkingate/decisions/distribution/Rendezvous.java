package org.catkingate.decisions.distribution;

import java.util.Comparator;
import java.util.List;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * Rendezvous hashing: every process that knows the same members ranks them alike.
 * Stateless and safe for use by any thread.
 */
final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final int LEADING_DIGITS = 16;

	private Rendezvous() {
	}

	static long hash(CharSequence text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return mix(hash);
	}

	static long hash(Digest digest) {
		return Long.parseUnsignedLong(digest.hex(), 0, LEADING_DIGITS, LEADING_DIGITS);
	}

	static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	static long score(long key, long candidate) {
		return mix(key + mix(candidate));
	}

	static long pairScore(InstanceId one, InstanceId other) {
		return mix(hash(one.value()) + hash(other.value()));
	}

	static List<Member> rank(long key, List<Member> members, int count) {
		Comparator<Ranked> order = Comparator.comparingLong(Ranked::score)
			.thenComparing((ranked) -> ranked.member().instance());
		return members.stream()
			.map((member) -> new Ranked(member, score(key, hash(member.instance().value()))))
			.sorted(order)
			.limit(count)
			.map(Ranked::member)
			.toList();
	}

	private record Ranked(Member member, long score) {

	}

}
