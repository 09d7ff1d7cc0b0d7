package org.catkingate.runtime.settings;

import java.net.URI;

import org.catkingate.model.ini.SectionReader;

/**
 * Where the registry is and how closely it is followed. Immutable.
 *
 * @param url its address
 * @param watchMillis how long one watch waits for a change, in milliseconds
 * @since 0.1
 */
public record RegistrySettings(URI url, long watchMillis) {

	/**
	 * Two watches in a row fit into a bound of five seconds, with room for a lost one.
	 */
	private static final int DEFAULT_WATCH_MILLIS = 1500;

	private static final int MAX_WATCH_MILLIS = 30_000;

	static RegistrySettings of(SectionReader reader) {
		URI url = reader.parsed("url", null, SectionParsers::url);
		int watch = reader.number("watch-ms", DEFAULT_WATCH_MILLIS, 1, MAX_WATCH_MILLIS);
		reader.checkUnknownKeys();
		return new RegistrySettings(url, watch);
	}

}
