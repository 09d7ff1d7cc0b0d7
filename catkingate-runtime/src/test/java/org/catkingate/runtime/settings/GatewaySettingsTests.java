package org.catkingate.runtime.settings;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ini.InvalidConfigurationException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link GatewaySettings} and {@link LoaderSettings}.
 */
class GatewaySettingsTests {

	private static Path example(String name) {
		return Path.of(System.getProperty("catkingate.root"), "examples", name);
	}

	@Test
	void theExampleOfAGatewayIsValid() throws Exception {
		GatewaySettings settings = GatewaySettings.read(example("gateway.ini"));
		assertThat(settings.regions()).containsEntry(new DataCentreName("srt-a"), new RegionName("guj-south"));
		assertThat(settings.retries().ratio()).isEqualTo(0.2);
		assertThat(settings.registry().watchMillis()).isEqualTo(1500);
		assertThat(settings.coldRunners().maxRequests(26)).isEqualTo(44);
	}

	@Test
	void theExampleOfALoaderIsValid() throws Exception {
		assertThat(LoaderSettings.read(example("loader.ini")).runner().getPort()).isEqualTo(9001);
	}

	// Guards against a gateway that changes how it chooses runners without being told so.
	@Test
	void runnersAreChosenByCostOnlyIfTheFileSaysSo() throws Exception {
		String text = Files.readString(example("gateway.ini"));
		assertThat(GatewaySettings.parse(text).routing().byCost()).isEqualTo(GatewaySettings.ByCost.NEVER);
		assertThat(GatewaySettings.parse(text + "\n[routing]\nby-cost = true\n").routing().byCost())
			.isEqualTo(GatewaySettings.ByCost.ALWAYS);
		assertThat(GatewaySettings.parse(text + "\n[routing]\nby-cost = if-slowdown-stated\n").routing().byCost())
			.isEqualTo(GatewaySettings.ByCost.IF_SLOWDOWN_STATED);
		GatewaySettings unreadable = GatewaySettings.parseTolerant(text + "\n[routing]\nby-cost = perhaps\n");
		assertThat(unreadable.routing().byCost()).isEqualTo(GatewaySettings.ByCost.NEVER);
		assertThat(unreadable.replacedValues()).hasSize(1);
	}

	// Guards against a gateway that does not start, or that sends more to cold runners
	// than their published rate, because of a value that cannot be read.
	@ParameterizedTest
	@CsvSource({ "'', '', 26", "x, -1, 26", "NaN, 5, 31", "2, 1e9, 52", "1.5, Infinity, 39" })
	void withoutAReadableValueColdRunnersGetTheirPublishedRate(String overage, String allowance, double max)
			throws Exception {
		String text = Files.readString(example("gateway.ini"))
			.replace("overage = 1.5", "overage = " + overage)
			.replace("allowance = 5", "allowance = " + allowance);
		assertThat(GatewaySettings.parseTolerant(text).coldRunners().maxRequests(26)).isEqualTo(max);
	}

	@Nested
	class AnInvalidFile {

		@Test
		void isRejectedWithEveryProblemAndItsRemedy() throws Exception {
			String invalidText = Files.readString(example("gateway.ini"))
				.replace("ratio = 0.2", "ratio = 2")
				.replace("overage = 1.5", "overage = -1")
				.replace("certain-ms = 5000", "certain-seconds = 5")
				.replace("[weights]", "[weight]");
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> GatewaySettings.parse(invalidText))
				.satisfies((ex) -> assertThat(ex.problems().toString()).contains("[retries] ratio = 2")
					.contains("write a number from 0 to 1")
					.contains("[cold-runners] overage = -1")
					.contains("write a number from 0 to 1000000")
					.contains("certain-seconds")
					.contains("[weight]"));
		}

		@Test
		void doesNotShowTheSharedKey() throws Exception {
			String invalidText = Files.readString(example("gateway.ini"))
				.replaceAll("shared-key = .*", "shared-key = tooshort");
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> GatewaySettings.parse(invalidText))
				.satisfies((ex) -> assertThat(ex.problems().toString()).doesNotContain("tooshort"));
		}

	}

}
