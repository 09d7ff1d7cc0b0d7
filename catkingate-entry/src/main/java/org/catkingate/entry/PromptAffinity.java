package org.catkingate.entry;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.catkingate.decisions.routing.Hashes;
import org.catkingate.model.published.Service;

/**
 * A hash of a prompt's prefix and of the client account. Requests with the same hash are
 * routed to the same engine, which may have the prefix in its cache. Stateless.
 */
final class PromptAffinity {

	/** The length of the prefix that is hashed, in characters. */
	private static final int MAX_PREFIX_CHARACTERS = 256;

	/**
	 * The length below which a prompt has no affinity, in characters: caching so short a
	 * prefix saves nothing.
	 */
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
				: Hashes.combine(Hashes.hash(request.account().name().value()), Hashes.hash(prefix));
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
