package org.catkingate.tests.requests;

import java.nio.charset.StandardCharsets;

import org.catkingate.standins.engine.Engine;
import org.catkingate.standins.engine.TokenGenerator;

/**
 * Engines for tests and helpers that read their responses. Stateless.
 */
final class EngineFixtures {

	private EngineFixtures() {
	}

	static Engine startEngine(String... extraOptions) {
		String[] arguments = new String[8 + extraOptions.length];
		String[] defaults = { "--initial-digest", LocalFleet.DIGEST.hex(), "--initial-model", "lyrics",
				"--initial-version", "1", "--token-micros", "200" };
		System.arraycopy(defaults, 0, arguments, 0, defaults.length);
		System.arraycopy(extraOptions, 0, arguments, defaults.length, extraOptions.length);
		return Engine.start(arguments);
	}

	static String expectedText(String prompt, int tokens) {
		return TokenGenerator.text(prompt, LocalFleet.DIGEST.hex(), tokens);
	}

	static String text(String events) {
		StringBuilder text = new StringBuilder();
		for (String line : events.split("\n")) {
			if (line.contains("\"text\":\"")) {
				text.append(line.replaceAll(".*\"text\":\"([^\"]*)\".*", "$1"));
			}
		}
		return text.toString();
	}

	static int tokenCount(Engine engine) {
		return engine.runs().stream().mapToInt((run) -> run.tokens()).sum();
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
