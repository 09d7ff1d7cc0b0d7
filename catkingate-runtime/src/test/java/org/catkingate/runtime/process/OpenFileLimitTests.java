package org.catkingate.runtime.process;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link OpenFileLimit}.
 */
class OpenFileLimitTests {

	private static String limits(String soft) {
		return "Limit                     Soft Limit           Hard Limit           Units     \n"
				+ "Max processes             95826                95826                processes \n"
				+ "Max open files            %-20s 1048576              files     \n".formatted(soft);
	}

	@ParameterizedTest
	@CsvSource({ "1024, 1024", "0, 1", "unlimited, 2147483647", "99999999999, 2147483647" })
	void isTheSoftLimit(String soft, int expected) throws Exception {
		assertThat(OpenFileLimit.parse(limits(soft))).isEqualTo(expected);
	}

	@Test
	void isUnknownWithoutItsLine() {
		assertThatThrownBy(() -> OpenFileLimit.parse("Limit\n")).isInstanceOf(IOException.class);
	}

}
