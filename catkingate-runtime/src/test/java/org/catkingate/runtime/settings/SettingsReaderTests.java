package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.InstanceId;
import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final String SHARED = """
			[process]
			instance = i-1
			data-centre = ahd-a
			region = guj-west
			[platform]
			configuration-url = http://127.0.0.1:7001
			instances-url = http://127.0.0.1:7001
			[operators]
			listen = 127.0.0.1:7200
			""";

	private static final String ENTRY = SHARED + """
			[peers]
			shared-key = 0123456789abcdef
			[callers]
			listen = 127.0.0.1:8080
			""";

	private static List<String> problems(Role role, String text) {
		return catchThrowableOfType(InvalidConfigurationException.class, () -> SettingsReader.parse(role, text))
			.problems()
			.stream()
			.map(ConfigurationProblem::toString)
			.toList();
	}

	@Nested
	class ValidSettings {

		@Test
		void ofAnEntryAreReadWithDefaults() throws InvalidConfigurationException {
			ProcessSettings settings = SettingsReader.parse(Role.ENTRY, ENTRY);
			assertThat(settings.process().instance()).isEqualTo(new InstanceId("i-1"));
			assertThat(settings.callers().listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 8080));
			assertThat(settings.callers().requestTimeoutMillis()).isEqualTo(60_000);
			assertThat(settings.weights()).isNull();
		}

		@Test
		void ofAnAgentNameItsRunners() throws InvalidConfigurationException {
			ProcessSettings settings = SettingsReader.parse(Role.AGENT, SHARED + """
					[peers]
					listen = 127.0.0.1:0
					shared-key = 0123456789abcdef
					[runner r1]
					address = 127.0.0.1:9001
					service = geet-llm
					""");
			assertThat(settings.runners()).hasSize(1);
			assertThat(settings.weights().memoryBytes()).isEqualTo(1024L * 1024 * 1024);
		}

	}

	@Nested
	class Problems {

		@Test
		void areAllReportedTogether() {
			assertThat(problems(Role.ENTRY, "[proces]\n")).hasSize(9)
				.contains("[proces] - no such section for this role; did you mean 'process'?")
				.contains("[process] instance =  - this key must be written");
		}

		@Test
		void ofAnUnknownKeySuggestTheNearestKnownOne() {
			assertThat(problems(Role.ENTRY, ENTRY + "max-body-kbs = 5\n"))
				.containsExactly("[callers] max-body-kbs = 5 - no such key here; did you mean 'max-body-kb'?");
		}

		@Test
		void ofAValueNameTheExpectedForm() {
			assertThat(problems(Role.ENTRY, ENTRY.replace("127.0.0.1:8080", "localhost:8080")))
				.containsExactly("[callers] listen = localhost:8080 - write IP:PORT with a numeric IP address");
		}

		@Test
		void doNotShowTheSharedKey() {
			assertThat(problems(Role.ENTRY, ENTRY.replace("0123456789abcdef", "too short"))).singleElement()
				.asString()
				.doesNotContain("too short");
		}

		@Test
		void includeSectionsOfTheOtherRole() {
			assertThat(problems(Role.ENTRY, ENTRY + "[weights]\n")).singleElement()
				.asString()
				.contains("no such section for this role");
		}

	}

}
