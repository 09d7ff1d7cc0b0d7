package org.catkingate.model;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RequestFingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestFingerprint}.
 */
class RequestFingerprintTests {

	private static String fingerprint(String body, String... fields) {
		return RequestFingerprint.of(Arrays.asList(fields), body.getBytes());
	}

	@Test
	void isTheSameForTheSameRequest() {
		assertThat(fingerprint("body", "POST", "a.example", "/x", "account"))
			.isEqualTo(fingerprint("body", "POST", "a.example", "/x", "account"));
	}

	// Guards against sound requests that are taken for another one.
	@Test
	void differsIfAnythingDiffers() {
		assertThat(List.of(fingerprint("body", "POST", "a", "/x", "b"), fingerprint("body2", "POST", "a", "/x", "b"),
				fingerprint("body", "PUT", "a", "/x", "b"), fingerprint("body", "POST", "a", "/xb", ""),
				fingerprint("body", "POST", "a", "/x", null), fingerprint("body", "POST", "a/", "x", "b"),
				fingerprint("bbody", "POST", "a", "/x", "")))
			.doesNotHaveDuplicates();
	}

	@Test
	void isShortAndNoPartOfAPrompt() {
		assertThat(fingerprint("body", "POST")).hasSizeLessThanOrEqualTo(PartReport.MAX_PART_LENGTH)
			.matches(RequestFingerprint::isFingerprint);
		assertThat(RequestFingerprint.isFingerprint("5c1e07a2")).isFalse();
	}

}
