package org.catkingate.runtime.settings;

import java.net.URI;

import org.catkingate.model.ini.SectionReader;

/**
 * The settings of access to the registry. Immutable.
 *
 * @param url the address of the registry
 * @param watchMillis how long one watch call waits for a change, in milliseconds
 * @since 0.1
 */
public record RegistrySettings(URI url, long watchMillis) {

	/**
	 * Short enough that two consecutive watch calls and the repetition of a lost one take
	 * less than 5 s in total.
	 */
	private static final int DEFAULT_WATCH_MILLIS = 1500;

	private static final int MAX_WATCH_MILLIS = 30_000;

	static RegistrySettings of(SectionReader reader) {
		URI url = reader.value("url", null, SectionParsers::url);
		int watchMillis = reader.number("watch-ms", DEFAULT_WATCH_MILLIS, 1, MAX_WATCH_MILLIS);
		reader.checkUnknownKeys();
		return new RegistrySettings(url, watchMillis);
	}

}
