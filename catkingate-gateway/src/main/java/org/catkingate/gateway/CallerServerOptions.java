package org.catkingate.gateway;

import java.util.Optional;

import io.undertow.UndertowOptions;
import org.xnio.OptionMap;

import org.catkingate.model.registry.CallerLimits;

/**
 * The options of the HTTP server for the published limits on callers. Stateless.
 */
final class CallerServerOptions {

	private static final int MAX_HEADERS = 100;

	private CallerServerOptions() {
	}

	/**
	 * Returns the options.
	 * @param published the limits, empty while none are known
	 * @return the options, never null
	 */
	static OptionMap of(Optional<CallerLimits> published) {
		OptionMap.Builder options = OptionMap.builder()
			.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.set(UndertowOptions.ALWAYS_SET_DATE, false)
			.set(UndertowOptions.MAX_HEADERS, MAX_HEADERS);
		published.ifPresent((limits) -> options.set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
			.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headerTimeoutMillis())
			.set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMillis()));
		return options.getMap();
	}

}
