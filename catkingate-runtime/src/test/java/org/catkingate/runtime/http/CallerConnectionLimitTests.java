package org.catkingate.runtime.http;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerConnectionLimit}.
 */
class CallerConnectionLimitTests {

	private static final long BYTES_PER_MB = 1024 * 1024;

	// Guards against callers that leave no descriptors for runners, other processes and
	// the registry, and against connections that do not fit the heap.
	@ParameterizedTest
	@CsvSource({ "4200, 64, 1844", "1024, 64, 384", "400, 64, 150", "16, 64, 16", "1048576, 64, 4096",
			"2147483647, 65536, 4194304" })
	void theLimitLeavesDescriptorsAndMemory(int openFiles, long heapMb, int expected) {
		assertThat(CallerConnectionLimit.limitFor(openFiles, heapMb * BYTES_PER_MB)).isEqualTo(expected);
	}

}
