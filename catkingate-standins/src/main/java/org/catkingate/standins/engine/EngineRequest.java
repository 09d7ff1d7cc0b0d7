package org.catkingate.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;

/**
 * A request for tokens. Immutable.
 *
 * @param id the request's identifier, as its header gives it
 * @param prompt the prompt
 * @param maxTokens how many tokens the answer has, those skipped included
 * @param resumeFrom how many tokens are skipped
 * @param stream whether the answer is streamed
 * @param priority its priority, the highest first
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
