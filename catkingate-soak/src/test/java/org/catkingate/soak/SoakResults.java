package org.catkingate.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The results of the soaks of one profile. Not thread-safe.
 */
final class SoakResults {

	private static final long DURATION_MILLIS = 1000L * Integer.getInteger("catkingate.soak-seconds", 20);

	private static final SoakFleet.Size SIZE = new SoakFleet.Size(Integer.getInteger("catkingate.soak-gateways", 2),
			Integer.getInteger("catkingate.soak-runners", 2), Integer.getInteger("catkingate.soak-callers", 12));

	private static final int MAX_SHOWN_BREACHES = 5;

	private final Map<Promise, List<String>> breaches = new EnumMap<>(Promise.class);

	private final List<String> failures = new ArrayList<>();

	private final Map<RequestKind, Integer> served = new EnumMap<>(RequestKind.class);

	private final SoakProfile profile;

	SoakResults(SoakProfile profile) {
		this.profile = profile;
	}

	/**
	 * Returns the seeds that the properties of the tests state.
	 */
	static List<Long> seeds() {
		List<Long> seeds = new ArrayList<>();
		long first = Long.getLong("catkingate.seed", 1);
		for (int i = 0; i < Integer.getInteger("catkingate.soak-runs", 1); i++) {
			seeds.add(first + i);
		}
		return seeds;
	}

	/**
	 * Runs a soak.
	 * @param temporary the directory for settings and output unless these are kept
	 */
	void run(long seed, Path temporary) throws IOException, InterruptedException {
		System.out.println("catkingate.seed=" + seed);
		String kept = System.getProperty("catkingate.keep-output");
		Path directory = (kept != null) ? Files.createTempDirectory(Path.of(kept), "soak-" + seed + "-")
				: Files.createTempDirectory(temporary, "soak");
		try (Soak soak = Soak.start(this.profile, SIZE, directory)) {
			soak.run(seed, DURATION_MILLIS);
			addResults(soak, seed);
		}
	}

	private void addResults(Soak soak, long seed) {
		System.out.println("seed " + seed + ": " + soak.judge().outcomes() + ", failures " + soak.failures());
		soak.failures().forEach((failure) -> this.failures.add("seed " + seed + ": " + failure));
		for (RequestKind kind : RequestKind.values()) {
			this.served.merge(kind, soak.judge().outcomes().getOrDefault(kind + " 200", 0), Integer::sum);
		}
		Map<Promise, List<String>> found = new EnumMap<>(Promise.class);
		soak.judge()
			.breaches()
			.forEach((breach) -> found.computeIfAbsent(breach.promise(), (promise) -> new ArrayList<>())
				.add("seed " + seed + ": " + breach.description()));
		found.forEach((promise, descriptions) -> {
			System.out.println("seed " + seed + ": " + promise + " broken " + descriptions.size() + " times");
			descriptions.stream()
				.limit(MAX_SHOWN_BREACHES)
				.forEach((description) -> System.out.println("  " + description));
			this.breaches.computeIfAbsent(promise, (key) -> new ArrayList<>()).addAll(descriptions);
		});
	}

	List<String> breaches(Promise promise) {
		return this.breaches.getOrDefault(promise, List.of());
	}

	List<String> failures() {
		return this.failures;
	}

	int served(RequestKind kind) {
		return this.served.getOrDefault(kind, 0);
	}

}
