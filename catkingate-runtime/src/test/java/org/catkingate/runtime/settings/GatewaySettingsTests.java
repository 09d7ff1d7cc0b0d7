package org.catkingate.runtime.settings;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
	}

	@Test
	void theExampleOfALoaderIsValid() throws Exception {
		assertThat(LoaderSettings.read(example("loader.ini")).runner().getPort()).isEqualTo(9001);
	}

	// Guards against a gateway that changes how it chooses runners without being told so.
	@Test
	void runnersAreChosenByCostOnlyIfTheFileSaysSo() throws Exception {
		String text = Files.readString(example("gateway.ini"));
		assertThat(GatewaySettings.parse(text).routing().byCost()).isFalse();
		assertThat(GatewaySettings.parse(text + "\n[routing]\nby-cost = true\n").routing().byCost()).isTrue();
		GatewaySettings unreadable = GatewaySettings.parseTolerant(text + "\n[routing]\nby-cost = perhaps\n");
		assertThat(unreadable.routing().byCost()).isFalse();
		assertThat(unreadable.replacedValues()).hasSize(1);
	}

	@Nested
	class AnInvalidFile {

		@Test
		void isRejectedWithEveryProblemAndItsRemedy() throws Exception {
			String invalidText = Files.readString(example("gateway.ini"))
				.replace("ratio = 0.2", "ratio = 2")
				.replace("certain-ms = 5000", "certain-seconds = 5")
				.replace("[weights]", "[weight]");
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> GatewaySettings.parse(invalidText))
				.satisfies((ex) -> assertThat(ex.problems().toString()).contains("[retries] ratio = 2")
					.contains("write a number from 0 to 1")
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
