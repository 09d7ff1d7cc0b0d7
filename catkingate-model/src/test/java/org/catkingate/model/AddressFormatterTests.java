package org.catkingate.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link AddressFormatter}.
 */
class AddressFormatterTests {

	@ParameterizedTest
	@ValueSource(strings = { "0.0.0.0:0", "127.0.0.1:80", "255.255.255.255:65535", "[::1]:80" })
	void parsesNumericAddresses(String text) {
		assertThat(AddressFormatter.parse(text).isUnresolved()).isFalse();
	}

	// Guards against a text that is looked up as the name of a host, and against an
	// address that stays unresolved.
	@ParameterizedTest
	@ValueSource(strings = { "256.0.0.1:80", "300.0.0.1:80", "1.2.3:80", "1:80", "...:80", "01.2.3.4:80", "[1:2]:80",
			"[::1::]:80", "127.0.0.1:65536", "127.0.0.1:", "localhost:80", "" })
	void rejectsEverythingElse(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> AddressFormatter.parse(text))
			.withMessageContaining("IP:PORT");
	}

}
