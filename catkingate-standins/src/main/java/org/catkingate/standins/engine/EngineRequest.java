package org.catkingate.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;

/**
 * A completion request. Immutable.
 *
 * @param id the request identifier from the {@code X-Request-Id} header, or an empty
 * string
 * @param prompt the prompt
 * @param maxTokens the number of tokens of the complete response, including skipped ones
 * @param resumeFrom the number of tokens to skip at the start
 * @param stream whether the response is streamed
 * @param priority the priority; higher priorities are served first
 */
record EngineRequest(String id, String prompt, int maxTokens, int resumeFrom, boolean stream, int priority) {

	private static final int DEFAULT_MAX_TOKENS = 16;

	static EngineRequest of(HttpServerExchange exchange, JsonNode json) {
		String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
		String priority = exchange.getRequestHeaders().getFirst("X-Priority");
		return new EngineRequest((id != null) ? id : "", json.path("prompt").asText(),
				json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS), json.path("resume_from").asInt(0),
				json.path("stream").asBoolean(false),
				(priority != null) ? Integer.parseInt(priority.strip()) : json.path("priority").asInt(0));
	}

}
