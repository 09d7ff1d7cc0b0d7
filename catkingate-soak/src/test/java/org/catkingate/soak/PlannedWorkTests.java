package org.catkingate.soak;

import java.nio.file.Path;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A soak in which gateways are only shut down, started again and changed, in series that
 * overlap. The properties are those of {@link SoakTests}, without regressions.
 */
class PlannedWorkTests {

	private static final SoakResults results = new SoakResults(SoakProfile.PLANNED_WORK);

	@BeforeAll
	static void run(@TempDir Path temporary) throws Exception {
		for (long seed : SoakResults.seeds()) {
			results.run(seed, temporary);
		}
	}

	// guards against requests that are passed on in a shutdown and cut at its end
	@ParameterizedTest(name = "{0}")
	@EnumSource(Promise.class)
	void promiseIsKept(Promise promise) {
		assertThat(results.breaches(promise)).isEmpty();
	}

	// guards against gateways that do not come back after signals that overlap
	@Test
	void processesComeBack() {
		assertThat(results.failures()).isEmpty();
	}

	// guards against a soak that judges nothing
	@ParameterizedTest(name = "{0}")
	@EnumSource(RequestKind.class)
	void requestsOfEachKindAreServed(RequestKind kind) {
		assertThat(results.served(kind)).isPositive();
	}

}
