package org.catkingate.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

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

	private static final SoakResults results = new SoakResults(SoakProfile.ALL_FAULTS);

	@BeforeAll
	static void run(@TempDir Path temporary) throws Exception {
		for (long seed : seeds()) {
			results.run(seed, temporary);
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
		seeds.addAll(SoakResults.seeds());
		return seeds;
	}

	@ParameterizedTest(name = "{0}")
	@EnumSource(Promise.class)
	void promiseIsKept(Promise promise) {
		assertThat(results.breaches(promise)).isEmpty();
	}

	@Test
	void faultsEndAndProcessesComeBack() {
		assertThat(results.failures()).isEmpty();
	}

	@ParameterizedTest(name = "{0}")
	@EnumSource(RequestKind.class)
	void requestsOfEachKindAreServed(RequestKind kind) {
		assertThat(results.served(kind)).isPositive();
	}

}
