package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.slf4j.event.Level;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.ini.SectionReader;
import org.catkingate.wire.SharedKey;

/**
 * Parsers for the sections of a settings file, which define the keys of each section with
 * their defaults and ranges. An invalid value, which the section reader has already
 * reported, is replaced by null or a placeholder. Stateless.
 */
final class SectionParsers {

	private static final int BYTES_PER_MB = 1024 * 1024;

	private static final int BYTES_PER_KB = 1024;

	private static final int MAX_THREADS = 64;

	private static final int DEFAULT_PEER_THREADS = 2;

	private static final int DEFAULT_CALLER_THREADS = 4;

	private static final int MAX_MEMORY_MB = 4 * 1024 * 1024;

	private static final int DEFAULT_MEMORY_MB = 1024;

	private static final int MAX_MB_PER_SECOND = 100_000;

	private static final int DEFAULT_MB_PER_SECOND = 1000;

	/**
	 * An entry sends a request to an agent in one frame, which holds at most 4 MB
	 * including the headers.
	 */
	private static final int MAX_BODY_KB = 3 * 1024;

	private static final int DEFAULT_BODY_KB = 1024;

	private static final int MAX_HEADER_KB = 1024;

	private static final int DEFAULT_HEADER_KB = 32;

	private static final int DEFAULT_REQUEST_TIMEOUT_SECONDS = 60;

	private static final int MAX_DURATION_SECONDS = 24 * 60 * 60;

	private static final int DEFAULT_SHUTDOWN_NOTICE_SECONDS = 2;

	private static final int DEFAULT_SHUTDOWN_LIMIT_SECONDS = 60;

	private SectionParsers() {
	}

	static ProcessSettings.Process process(SectionReader reader, Role role) {
		InstanceId instance = reader.value("instance", null, InstanceId::new);
		DataCentreName dataCentre = reader.value("data-centre", null, DataCentreName::new);
		RegionName region = reader.value("region", null, RegionName::new);
		Labels labels = reader.labels("labels");
		Level level = parsed(reader, "log-level", "info", Level.INFO, SectionParsers::level);
		reader.checkUnknownKeys();
		return new ProcessSettings.Process(role, instance, dataCentre, region, labels, level);
	}

	static ProcessSettings.Platform platform(SectionReader reader) {
		URI configuration = reader.value("configuration-url", null, SectionParsers::url);
		URI instances = reader.value("instances-url", null, SectionParsers::url);
		reader.checkUnknownKeys();
		return new ProcessSettings.Platform(configuration, instances);
	}

	static ProcessSettings.Peers peers(SectionReader reader, Role role) {
		InetSocketAddress listen = null;
		if (role == Role.AGENT) {
			listen = reader.value("listen", null, AddressFormatter::parse);
		}
		SharedKey key = reader.secret("shared-key", SharedKey::of);
		int threads = reader.number("io-threads", DEFAULT_PEER_THREADS, 1, MAX_THREADS);
		reader.checkUnknownKeys();
		return new ProcessSettings.Peers(listen, key, threads);
	}

	static ProcessSettings.Operators operators(SectionReader reader) {
		InetSocketAddress listen = reader.value("listen", null, AddressFormatter::parse);
		InetSocketAddress alsoListen = parsed(reader, "also-listen", "", null, AddressFormatter::parse);
		reader.checkUnknownKeys();
		return new ProcessSettings.Operators(listen, Optional.ofNullable(alsoListen));
	}

	static ProcessSettings.Shutdown shutdown(SectionReader reader) {
		int noticeSeconds = reader.number("notice-s", DEFAULT_SHUTDOWN_NOTICE_SECONDS, 0, MAX_DURATION_SECONDS);
		int limitSeconds = reader.number("limit-s", DEFAULT_SHUTDOWN_LIMIT_SECONDS, 0, MAX_DURATION_SECONDS);
		reader.checkUnknownKeys();
		return new ProcessSettings.Shutdown(TimeUnit.SECONDS.toMillis(noticeSeconds),
				TimeUnit.SECONDS.toMillis(limitSeconds));
	}

	static ProcessSettings.Callers callers(SectionReader reader) {
		InetSocketAddress listen = reader.value("listen", null, AddressFormatter::parse);
		int threads = reader.number("io-threads", DEFAULT_CALLER_THREADS, 1, MAX_THREADS);
		int maxBodyKb = reader.number("max-body-kb", DEFAULT_BODY_KB, 1, MAX_BODY_KB);
		int maxHeaderKb = reader.number("max-header-kb", DEFAULT_HEADER_KB, 1, MAX_HEADER_KB);
		int requestTimeoutSeconds = reader.number("request-timeout-s", DEFAULT_REQUEST_TIMEOUT_SECONDS, 1,
				MAX_DURATION_SECONDS);
		reader.checkUnknownKeys();
		return new ProcessSettings.Callers(listen, threads, maxBodyKb * BYTES_PER_KB, maxHeaderKb * BYTES_PER_KB,
				TimeUnit.SECONDS.toMillis(requestTimeoutSeconds));
	}

	static ProcessSettings.Weights weights(SectionReader reader) {
		long memoryBytes = (long) BYTES_PER_MB * reader.number("memory-mb", DEFAULT_MEMORY_MB, 1, MAX_MEMORY_MB);
		URI origin = parsed(reader, "origin-url", "", null, SectionParsers::url);
		URI store = parsed(reader, "store-url", "", null, SectionParsers::url);
		long originBytesPerSecond = bytesPerSecond(reader, "origin-mb-per-s");
		long storeBytesPerSecond = bytesPerSecond(reader, "store-mb-per-s");
		long linkBytesPerSecond = bytesPerSecond(reader, "link-mb-per-s");
		ProcessSettings.Preference preference = parsed(reader, "prefer", "time", ProcessSettings.Preference.TIME,
				SectionParsers::preference);
		reader.checkUnknownKeys();
		return new ProcessSettings.Weights(memoryBytes, origin, store, originBytesPerSecond, storeBytesPerSecond,
				linkBytesPerSecond, preference);
	}

	private static long bytesPerSecond(SectionReader reader, String key) {
		return (long) BYTES_PER_MB * reader.number(key, DEFAULT_MB_PER_SECOND, 1, MAX_MB_PER_SECOND);
	}

	static ProcessSettings.Runner runner(SectionReader reader) {
		RunnerId id = reader.name("runner", RunnerId::new);
		InetSocketAddress address = reader.value("address", null, AddressFormatter::parse);
		ServiceName service = reader.value("service", null, ServiceName::new);
		reader.checkUnknownKeys();
		return new ProcessSettings.Runner(id, address, service);
	}

	private static <T> T parsed(SectionReader reader, String key, String defaultValue, T placeholder,
			Function<String, T> constructor) {
		String text = reader.text(key, defaultValue);
		return text.isEmpty() ? placeholder : reader.value(key, placeholder, text, constructor);
	}

	private static Level level(String text) {
		try {
			return Level.valueOf(text.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException("write error, warn, info, debug or trace", ex);
		}
	}

	private static ProcessSettings.Preference preference(String text) {
		return switch (text) {
			case "time" -> ProcessSettings.Preference.TIME;
			case "origin-bytes" -> ProcessSettings.Preference.ORIGIN_BYTES;
			default -> throw new IllegalArgumentException("write time or origin-bytes");
		};
	}

	static URI url(String text) {
		URI uri = URI.create(text);
		if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 0) {
			throw new IllegalArgumentException("write http://IP:PORT");
		}
		return uri;
	}

}
