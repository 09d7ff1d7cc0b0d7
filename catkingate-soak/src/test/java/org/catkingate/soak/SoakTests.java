package org.catkingate.soak;

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
 * A soak of one seed. {@code -Dcatkingate.seed=}, {@code -Dcatkingate.soak-seconds=},
 * {@code -Dcatkingate.soak-gateways=}, {@code -Dcatkingate.soak-runners=} and
 * {@code -Dcatkingate.soak-callers=} change the run.
 */
class SoakTests {

	private static final long SEED = Long.getLong("catkingate.seed", 1);

	private static final long DURATION_MILLIS = 1000L * Integer.getInteger("catkingate.soak-seconds", 20);

	private static final SoakFleet.Size SIZE = new SoakFleet.Size(Integer.getInteger("catkingate.soak-gateways", 2),
			Integer.getInteger("catkingate.soak-runners", 2), Integer.getInteger("catkingate.soak-callers", 12));

	private static final int MAX_SHOWN_BREACHES = 10;

	private static final Map<Promise, List<String>> breaches = new EnumMap<>(Promise.class);

	private static Map<String, Integer> outcomes;

	private static List<Throwable> failures;

	@BeforeAll
	static void run(@TempDir Path temporary) throws Exception {
		System.out.println("catkingate.seed=" + SEED);
		String kept = System.getProperty("catkingate.keep-output");
		Path directory = (kept != null) ? Files.createTempDirectory(Path.of(kept), "soak") : temporary;
		try (Soak soak = Soak.start(SIZE, directory)) {
			soak.run(SEED, DURATION_MILLIS);
			outcomes = soak.judge().outcomes();
			failures = soak.failures();
			soak.judge()
				.breaches()
				.forEach((breach) -> breaches.computeIfAbsent(breach.promise(), (promise) -> new ArrayList<>())
					.add(breach.description()));
		}
		System.out.println("seed " + SEED + ": " + outcomes + ", failures " + failures);
		breaches.forEach((promise, found) -> {
			System.out.println(promise + " broken " + found.size() + " times");
			found.stream().limit(MAX_SHOWN_BREACHES).forEach((description) -> System.out.println("  " + description));
		});
	}

	@ParameterizedTest
	@EnumSource(Promise.class)
	void promiseIsKept(Promise promise) {
		assertThat(breaches.getOrDefault(promise, List.of())).as("seed " + SEED).isEmpty();
	}

	@Test
	void faultsEndAndProcessesComeBack() {
		assertThat(failures).as("seed " + SEED).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(RequestKind.class)
	void requestsOfEachKindAreServed(RequestKind kind) {
		assertThat(outcomes).as("seed " + SEED).containsKey(kind + " 200");
	}

}
