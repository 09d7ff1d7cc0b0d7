package org.catkingate.tests.harness;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.catkingate.standins.weights.GeneratedWeights;

/**
 * The configuration that the tests publish: a service of model engines, a plain service
 * and one client account. Stateless.
 */
public final class TestConfiguration {

	/** The API key of the client account. */
	public static final String API_KEY = "key-of-the-test";

	private static final String FLEET = """
			[data-centre ahd-a]
			region = guj-west
			[group gpus]
			selector = role=gpu
			[group shops]
			selector = role=shop
			[service llm]
			kind = engine
			checks-fencing = true
			group = gpus
			switching-share-percent = 50
			[service shop]
			kind = plain
			group = shops
			non-idempotent-calls = POST /purchases
			idempotent-calls = GET /lookups*
			repeat-window-s = 1
			expected-runners = %d
			[account bar]
			key-sha256 = %s
			labels = kind=bar
			requests-per-s = 100000
			concurrent-requests = 10000
			tokens-per-s = 100000000
			priority = 5
			""";

	private static final String SHOP_RULES = """
			[rule purchases]
			order = 20
			call = POST /purchases
			service = shop
			[rule lookups]
			order = 21
			call = GET /lookups*
			service = shop
			""";

	private static final String VERSION = """
			[version %1$s %2$s]
			service = llm
			manifest-sha256 = %3$s
			selector = role=gpu
			[rule completions]
			order = 10
			call = POST /v1/completions
			service = llm
			version = %1$s %2$s
			""";

	private static final String PREVIOUS_VERSION = """
			also-versions = %1$s %2$s
			[version %1$s %2$s]
			service = llm
			manifest-sha256 = %3$s
			selector = role=none
			""";

	private TestConfiguration() {
	}

	/**
	 * Returns the parts of a configuration that routes completions to one version.
	 */
	public static String[] parts(int expectedRunners, GeneratedWeights weights) {
		return new String[] { FLEET.formatted(expectedRunners, sha256(API_KEY)) + SHOP_RULES, version(weights) };
	}

	/**
	 * Returns the parts of a configuration that rolls out a version while the previous
	 * one may respond too.
	 */
	public static String[] rolloutParts(int expectedRunners, GeneratedWeights previous, GeneratedWeights next) {
		String previousVersion = PREVIOUS_VERSION.formatted(previous.specification().model(),
				previous.specification().version(), previous.manifestDigest());
		return new String[] { FLEET.formatted(expectedRunners, sha256(API_KEY)) + SHOP_RULES,
				version(next) + previousVersion };
	}

	public static String version(GeneratedWeights weights) {
		return VERSION.formatted(weights.specification().model(), weights.specification().version(),
				weights.manifestDigest());
	}

	private static String sha256(String text) {
		try {
			return HexFormat.of()
				.formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
