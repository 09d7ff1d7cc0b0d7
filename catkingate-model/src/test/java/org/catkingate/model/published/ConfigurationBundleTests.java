package org.catkingate.model.published;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.Digest;
import org.catkingate.model.ini.InvalidConfigurationException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ConfigurationBundle} and {@link ConfigurationHead}.
 */
class ConfigurationBundleTests {

	private static final String PART = "[group g]\nselector = *\n";

	private static ConfigurationHead head(String text) throws InvalidConfigurationException {
		return ConfigurationHead.parse(text.getBytes(StandardCharsets.UTF_8));
	}

	@Nested
	class Heads {

		@Test
		void haveTheDigestOfTheirOwnBytes() throws InvalidConfigurationException {
			ConfigurationBundle bundle = ConfigurationBundle.of(42, List.of(PART, "[group h]\nselector = *\n"));
			ConfigurationHead head = ConfigurationHead.parse(bundle.head());
			assertThat(head.version()).isEqualTo(bundle.version());
			assertThat(head.version().revision()).isEqualTo(42);
			assertThat(head.version().digest()).isEqualTo(Digest.of(bundle.head()));
			assertThat(head.parts()).containsExactlyElementsOf(bundle.parts().keySet());
		}

		@Test
		void withProblemsReportAllOfThem() {
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> head("[head]\nrevision = 0\nparts = abc\nrevison = 2\n"))
				.satisfies((ex) -> assertThat(ex.problems()).hasSize(3))
				.withMessageContaining("did you mean 'revision'?");
		}

		@Test
		void thatAreTruncatedAreRejected() {
			byte[] complete = ConfigurationBundle.of(7, List.of(PART)).head();
			for (int length = 0; length < complete.length - 1; length++) {
				byte[] truncated = java.util.Arrays.copyOf(complete, length);
				assertThatExceptionOfType(InvalidConfigurationException.class)
					.isThrownBy(() -> ConfigurationHead.parse(truncated));
			}
		}

		@Test
		void aboveTheMaximumSizeAreRejected() {
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> ConfigurationHead.parse(new byte[ConfigurationHead.MAX_VALUE_BYTES + 1]))
				.withMessageContaining("keep every value within 1048576");
		}

	}

	@Nested
	class Assembly {

		@Test
		void usesOnlyTheListedParts() throws InvalidConfigurationException {
			ConfigurationBundle bundle = ConfigurationBundle.of(1, List.of(PART));
			Map<Digest, byte[]> available = new HashMap<>(bundle.parts());
			available.put(Digest.of(new byte[1]), new byte[1]);
			assertThat(ConfigurationBundle.assemble(bundle.head(), available).parts().keySet())
				.isEqualTo(bundle.parts().keySet());
		}

		@Test
		void rejectsAMissingPart() {
			ConfigurationBundle bundle = ConfigurationBundle.of(1, List.of(PART));
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> ConfigurationBundle.assemble(bundle.head(), Map.of()))
				.withMessageContaining("before the head");
		}

		@Test
		void rejectsAPartWithTheContentOfAnotherRevision() {
			ConfigurationBundle bundle = ConfigurationBundle.of(1, List.of(PART));
			Digest digest = bundle.parts().keySet().iterator().next();
			Map<Digest, byte[]> mixed = Map.of(digest, "[group g]\nselector = a=b\n".getBytes(StandardCharsets.UTF_8));
			assertThatExceptionOfType(InvalidConfigurationException.class)
				.isThrownBy(() -> ConfigurationBundle.assemble(bundle.head(), mixed));
		}

	}

}
