package org.catkingate.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A judge of where requests arrive: in a region that their route and account allow, and
 * not in an evacuated data centre. A gateway may act on what was in effect up to
 * {@link Judge#WITHDRAWAL_LIMIT_MILLIS} before, since it rejects all keys once its copy
 * of the registry is older. Guarded by the lock of its judge.
 */
final class PlacementJudge {

	private final Map<String, String> dataCentres = new HashMap<>();

	private final Map<String, Long> evacuatedAtMillis = new HashMap<>();

	private final List<Regions> published = new ArrayList<>();

	void runnerStarted(String runner, String dataCentre) {
		this.dataCentres.put(runner, dataCentre);
	}

	/**
	 * Records allowed regions, before the registry gets them.
	 * @param routes the regions of the routes that have a restriction
	 * @param accounts the regions of the accounts that have one
	 */
	void regionsPublished(Map<RequestKind, Set<String>> routes, Map<String, Set<String>> accounts) {
		this.published.add(new Regions(Map.copyOf(routes), Map.copyOf(accounts), Long.MAX_VALUE));
	}

	/**
	 * Records that the registry has accepted the allowed regions recorded last.
	 */
	void regionsAccepted(long nowMillis) {
		for (int i = 0; i < this.published.size() - 1; i++) {
			Regions regions = this.published.get(i);
			if (regions.untilMillis() == Long.MAX_VALUE) {
				this.published.set(i, new Regions(regions.routes(), regions.accounts(), nowMillis));
			}
		}
	}

	void evacuated(String dataCentre, long nowMillis) {
		this.evacuatedAtMillis.putIfAbsent(dataCentre, nowMillis);
	}

	void evacuationEnds(String dataCentre) {
		this.evacuatedAtMillis.remove(dataCentre);
	}

	Optional<Breach> judge(SoakRequest request, String account, String runner) {
		String dataCentre = this.dataCentres.get(runner);
		if (dataCentre == null) {
			return Optional.empty();
		}
		long knownSince = request.sentMillis() - Judge.WITHDRAWAL_LIMIT_MILLIS;
		Long evacuatedAt = this.evacuatedAtMillis.get(dataCentre);
		if (evacuatedAt != null && knownSince > evacuatedAt) {
			return Optional.of(new Breach(Promise.EVACUATION, "%s reached %s in %s, which was evacuated %d ms before"
				.formatted(request, runner, dataCentre, request.sentMillis() - evacuatedAt)));
		}
		String region = SoakOperator.REGIONS.get(dataCentre);
		boolean allowed = this.published.isEmpty() || this.published.stream()
			.anyMatch((regions) -> regions.untilMillis() >= knownSince
					&& regions.allows(request.kind(), account, region));
		return allowed ? Optional.empty() : Optional.of(new Breach(Promise.RESIDENCY,
				request + " of " + account + " reached " + runner + " in region " + region));
	}

	/**
	 * The allowed regions of one configuration.
	 *
	 * @param routes the regions of the routes that have a restriction
	 * @param accounts the regions of the accounts that have one
	 * @param untilMillis when the registry accepted the next configuration
	 */
	private record Regions(Map<RequestKind, Set<String>> routes, Map<String, Set<String>> accounts, long untilMillis) {

		boolean allows(RequestKind kind, String account, String region) {
			return this.routes.getOrDefault(kind, Set.of(region)).contains(region)
					&& this.accounts.getOrDefault(account, Set.of(region)).contains(region);
		}

	}

}
