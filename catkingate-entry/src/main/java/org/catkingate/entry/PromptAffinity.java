package org.catkingate.entry;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.catkingate.decisions.routing.Hashes;
import org.catkingate.model.published.Service;

/**
 * Finds the start of a prompt, by which requests that share a cached prefix go to the
 * same engine. Stateless.
 */
final class PromptAffinity {

	/** How much of a prompt counts, in characters. */
	private static final int MAX_PREFIX_CHARACTERS = 256;

	/** Shorter prompts leave nothing worth finding again, in characters. */
	private static final int MIN_PREFIX_CHARACTERS = 64;

	private static final JsonFactory FACTORY = new JsonFactory();

	private PromptAffinity() {
	}

	static long of(AdmittedRequest request) {
		if (request.service().kind() != Service.Kind.ENGINE) {
			return 0;
		}
		String prefix = promptPrefix(request.body());
		return (prefix.length() < MIN_PREFIX_CHARACTERS) ? 0
				: Hashes.combine(Hashes.of(request.account().name().value()), Hashes.of(prefix));
	}

	private static String promptPrefix(byte[] body) {
		try (JsonParser parser = FACTORY.createParser(body)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				return "";
			}
			String field = parser.nextFieldName();
			while (field != null) {
				JsonToken value = parser.nextToken();
				if (field.equals("prompt") && value == JsonToken.VALUE_STRING) {
					String prompt = parser.getText();
					return prompt.substring(0, Math.min(prompt.length(), MAX_PREFIX_CHARACTERS));
				}
				parser.skipChildren();
				field = parser.nextFieldName();
			}
			return "";
		}
		catch (IOException ex) {
			return "";
		}
	}

}
