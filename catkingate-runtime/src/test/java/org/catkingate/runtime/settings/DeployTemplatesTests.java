package org.catkingate.runtime.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.ini.InvalidConfigurationException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of the settings that result from the templates of the deployment, filled in as
 * the platform does.
 */
class DeployTemplatesTests {

	private static final Pattern EACH = Pattern.compile("\\{\\{#(\\w+)}}\\n(.*?)\\{\\{/\\1}}\\n", Pattern.DOTALL);

	private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)}}");

	private final Map<String, String> fields = new LinkedHashMap<>(Map.ofEntries(Map.entry("NodeName", "edge-a-1"),
			Map.entry("Zone", "a"), Map.entry("Region", "r"), Map.entry("Platform.Address", "10.0.0.1:80"),
			Map.entry("Listen.Frontend", "10.0.0.2:81"), Map.entry("Listen.Ready", "10.0.0.2:82"),
			Map.entry("Listen.ControlPlane", "10.0.0.2:83"), Map.entry("Ip", "10.0.0.2"),
			Map.entry("PortRange.0", "7700"), Map.entry("SeedNodes", "10.0.0.2:83,10.0.0.3:83"),
			Map.entry("app", "10.0.0.2:90"), Map.entry("Service", "songs"), Map.entry("PolicyParams.RevokeMs", "5000"),
			Map.entry("PolicyParams.RetryRatio", "0.2"), Map.entry("PolicyParams.RetryAllowance", "100"),
			Map.entry("PolicyParams.RetryWindowS", "10"), Map.entry("PolicyParams.version_ms", "8000"),
			Map.entry("PolicyParams.ContactMs", "3000")));

	private String render(String template) throws Exception {
		String text = Files.readString(Path.of(System.getProperty("catkingate.root"), "deploy", template));
		text = EACH.matcher(text)
			.replaceAll((each) -> Matcher.quoteReplacement(each.group(2).replace("{{@}}", "a").replace("{{.}}", "r")
					+ each.group(2).replace("{{@}}", "b").replace("{{.}}", "s")));
		return VALUE.matcher(text)
			.replaceAll((value) -> Matcher.quoteReplacement(this.fields.getOrDefault(value.group(1), "")));
	}

	private GatewaySettings gateway() throws Exception {
		return GatewaySettings.parseTolerant(render("gateway.ini"));
	}

	@Test
	void yieldTheValuesOfThePlatform() throws Exception {
		GatewaySettings settings = gateway();
		assertThat(settings.replacedValues()).isEmpty();
		assertThat(settings.regions()).hasSize(2);
		assertThat(settings.retries().free()).isEqualTo(100);
		assertThat(settings.retries().windowMillis()).isEqualTo(10_000);
		assertThat(settings.keyValidityMillis()).isEqualTo(5000);
		assertThat(settings.weights().settlingMillis()).isEqualTo(3000);
		assertThat(LoaderSettings.parse(render("loader.ini")).weightsChangeMillis()).isEqualTo(8000);
	}

	// Guards against a gateway that starts only where the platform states how many files
	// it may open.
	@ParameterizedTest
	@CsvSource({ "4200, 4200, 0", "4200.5, 4200, 0", "'', 0, 0", "many, 0, 1" })
	void yieldTheDescriptorsIfThePlatformStatesThem(String value, int expected, int replacedValues) throws Exception {
		this.fields.put("Limits.MaxFds", value);
		assertThat(gateway().callers().openFiles().orElse(0)).isEqualTo(expected);
		assertThat(gateway().replacedValues()).hasSize(replacedValues);
	}

	@Nested
	class AFraction {

		// Guards against all processes of a deployment ending at their start because one
		// of its figures is not a whole number.
		@ParameterizedTest
		@ValueSource(strings = { "PolicyParams.RevokeMs", "PolicyParams.RetryRatio", "PolicyParams.RetryAllowance",
				"PolicyParams.RetryWindowS", "PolicyParams.version_ms", "PolicyParams.ContactMs" })
		void isAcceptedForEachFigure(String field) {
			DeployTemplatesTests.this.fields.put(field, "0.2".equals(DeployTemplatesTests.this.fields.get(field))
					? "0.16666666666666666" : DeployTemplatesTests.this.fields.get(field) + ".16666666666667");
			assertThatCode(() -> {
				assertThat(gateway().replacedValues()).isEmpty();
				LoaderSettings.parse(render("loader.ini"));
			}).doesNotThrowAnyException();
		}

		@Test
		void isReadAsTheStricterWholeNumber() throws Exception {
			DeployTemplatesTests.this.fields.put("PolicyParams.RetryAllowance", "54.9");
			DeployTemplatesTests.this.fields.put("PolicyParams.RetryWindowS", "10.50001");
			DeployTemplatesTests.this.fields.put("PolicyParams.RevokeMs", "4999.9");
			assertThat(gateway().retries().free()).isEqualTo(54);
			assertThat(gateway().retries().windowMillis()).isEqualTo(10_501);
			assertThat(gateway().keyValidityMillis()).isEqualTo(4999);
		}

	}

	@Nested
	class AValueThatCannotBeRead {

		// Guards against an outage of a whole deployment because of a value that has a
		// safe replacement.
		@ParameterizedTest
		@CsvSource({ "PolicyParams.RetryAllowance,many", "PolicyParams.RetryAllowance,''",
				"PolicyParams.RetryAllowance,-1", "PolicyParams.RetryRatio,''", "PolicyParams.RetryRatio,2",
				"PolicyParams.RetryWindowS,0", "PolicyParams.RetryWindowS,''", "PolicyParams.ContactMs,true" })
		void isReplacedByASafeOneIfThereIsOne(String field, String value) throws Exception {
			DeployTemplatesTests.this.fields.put(field, value);
			assertThat(gateway().replacedValues()).hasSize(1);
			assertThat(gateway().retries().allows(0, 100, 1)).isFalse();
		}

		@Test
		void allowsFewerRetriesAndNeverMore() throws Exception {
			DeployTemplatesTests.this.fields.put("PolicyParams.RetryAllowance", "NaN");
			DeployTemplatesTests.this.fields.put("PolicyParams.RetryRatio", "Infinity");
			assertThat(gateway().retries().allows(1000, 0, 1)).isFalse();
		}

		@ParameterizedTest
		@ValueSource(strings = { "PolicyParams.RevokeMs", "PolicyParams.version_ms" })
		void endsTheProcessIfAnyReplacementCouldBreakAPromise(String field) {
			DeployTemplatesTests.this.fields.put(field, "soon");
			assertThatExceptionOfType(InvalidConfigurationException.class).isThrownBy(() -> gateway())
				.satisfies((ex) -> assertThat(ex.problems()).hasSize(1));
		}

	}

}
