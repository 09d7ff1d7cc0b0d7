package org.catkingate.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A soak of one or several seeds. {@code -Dcatkingate.seed=} is the first seed,
 * {@code -Dcatkingate.soak-runs=} the number of seeds and
 * {@code -Dcatkingate.soak-regressions=true} adds those that once failed;
 * {@code -Dcatkingate.soak-seconds=}, {@code -Dcatkingate.soak-gateways=},
 * {@code -Dcatkingate.soak-runners=} and {@code -Dcatkingate.soak-callers=} change each
 * run.
 */
class SoakTests {

	private static final long DURATION_MILLIS = 1000L * Integer.getInteger("catkingate.soak-seconds", 20);

	private static final SoakFleet.Size SIZE = new SoakFleet.Size(Integer.getInteger("catkingate.soak-gateways", 2),
			Integer.getInteger("catkingate.soak-runners", 2), Integer.getInteger("catkingate.soak-callers", 12));

	private static final int MAX_SHOWN_BREACHES = 5;

	private static final Map<Promise, List<String>> breaches = new EnumMap<>(Promise.class);

	private static final List<String> failures = new ArrayList<>();

	private static final Map<RequestKind, Integer> served = new EnumMap<>(RequestKind.class);

	@BeforeAll
	static void run(@TempDir Path temporary) throws Exception {
		for (long seed : seeds()) {
			System.out.println("catkingate.seed=" + seed);
			String kept = System.getProperty("catkingate.keep-output");
			Path directory = (kept != null) ? Files.createTempDirectory(Path.of(kept), "soak-" + seed + "-")
					: Files.createTempDirectory(temporary, "soak");
			try (Soak soak = Soak.start(SIZE, directory)) {
				soak.run(seed, DURATION_MILLIS);
				addResults(soak, seed);
			}
		}
	}

	private static List<Long> seeds() throws IOException {
		List<Long> seeds = new ArrayList<>();
		if (Boolean.getBoolean("catkingate.soak-regressions")) {
			try (InputStream input = SoakTests.class.getResourceAsStream("regression-seeds.txt")) {
				new String(input.readAllBytes(), StandardCharsets.UTF_8).lines()
					.filter((line) -> !line.startsWith("#"))
					.forEach((line) -> seeds.add(Long.valueOf(line.split(" ")[0])));
			}
		}
		long first = Long.getLong("catkingate.seed", 1);
		for (int i = 0; i < Integer.getInteger("catkingate.soak-runs", 1); i++) {
			seeds.add(first + i);
		}
		return seeds;
	}

	private static void addResults(Soak soak, long seed) {
		System.out.println("seed " + seed + ": " + soak.judge().outcomes() + ", failures " + soak.failures());
		soak.failures().forEach((failure) -> failures.add("seed " + seed + ": " + failure));
		for (RequestKind kind : RequestKind.values()) {
			served.merge(kind, soak.judge().outcomes().getOrDefault(kind + " 200", 0), Integer::sum);
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
			breaches.computeIfAbsent(promise, (key) -> new ArrayList<>()).addAll(descriptions);
		});
	}

	@ParameterizedTest(name = "{0}")
	@EnumSource(Promise.class)
	void promiseIsKept(Promise promise) {
		assertThat(breaches.getOrDefault(promise, List.of())).isEmpty();
	}

	@Test
	void faultsEndAndProcessesComeBack() {
		assertThat(failures).isEmpty();
	}

	@ParameterizedTest(name = "{0}")
	@EnumSource(RequestKind.class)
	void requestsOfEachKindAreServed(RequestKind kind) {
		assertThat(served.get(kind)).isPositive();
	}

}
