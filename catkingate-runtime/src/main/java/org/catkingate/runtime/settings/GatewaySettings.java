package org.catkingate.runtime.settings;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Function;

import org.catkingate.decisions.retries.RetryAllowance;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.SectionReader;

/**
 * All settings of a gateway. Immutable and safe for use by any thread.
 *
 * @param process the identity and location of the process
 * @param regions the region of each data centre
 * @param registry the address of the registry and how it is watched
 * @param callers where callers connect, and the descriptors of the process
 * @param peers the connections to other processes
 * @param operators the addresses of the endpoint for operators
 * @param shutdown the times of a graceful shutdown
 * @param keyValidityMillis how long a key is accepted after it was last confirmed to be
 * valid, in milliseconds
 * @param retries the limit on the retries that all gateways together may make
 * @param weights the times for changing the version of weights
 * @param coldRunners how many requests may be sent to cold runners
 * @param routing how runners are chosen
 * @param slowReaderBytes the memory for what callers have not read yet or what is not
 * complete, over all responses
 * @param requestBodyBytes the memory for the bodies of all requests in progress
 * @param replacedValues the values that could not be read and were replaced by safe ones
 * @since 0.1
 */
public record GatewaySettings(ProcessSettings.Process process, Map<DataCentreName, RegionName> regions,
		RegistrySettings registry, Callers callers, PeerSettings peers, ProcessSettings.Operators operators,
		ProcessSettings.Shutdown shutdown, long keyValidityMillis, RetryAllowance retries, Weights weights,
		ColdRunners coldRunners, Routing routing, long slowReaderBytes, long requestBodyBytes,
		List<ConfigurationProblem> replacedValues) implements RoleSettings {

	private static final List<String> SECTIONS = List.of("process", "data-centres", "registry", "callers", "peers",
			"operators", "shutdown", "keys", "retries", "weights", "cold-runners", "routing", "slow-readers",
			"request-bodies");

	private static final int MAX_DURATION_MILLIS = 24 * 60 * 60 * 1000;

	private static final int MAX_FREE_RETRIES = 1_000_000;

	private static final long MAX_RETRY_WINDOW_SECONDS = 60 * 60;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final int MAX_COLD_VALUE = 1_000_000;

	/** A fourth of the usual heap of a gateway. */
	private static final int DEFAULT_SLOW_READER_KB = 16 * 1024;

	/** The memory that a single slow reader may occupy in any case. */
	private static final int MIN_SLOW_READER_KB = 256;

	private static final int MAX_SLOW_READER_KB = 1024 * 1024;

	/** A fourth of the usual heap of a gateway. */
	private static final int DEFAULT_REQUEST_BODY_KB = 16 * 1024;

	private static final int MIN_REQUEST_BODY_KB = 16;

	private static final int MAX_REQUEST_BODY_KB = 1024 * 1024;

	private static final long BYTES_PER_KB = 1024;

	public GatewaySettings {
		Objects.requireNonNull(process, "process must not be null");
		regions = Map.copyOf(regions);
		replacedValues = List.copyOf(replacedValues);
	}

	@Override
	public long shutdownMillis() {
		return this.shutdown.totalMillis();
	}

	/**
	 * Reads settings from a file for a process that starts. Invalid limits on retries and
	 * an invalid settling time are replaced by values that allow least, since the
	 * platform sends the same values to all processes and they would all end.
	 * @param file the file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static GatewaySettings read(Path file) throws InvalidConfigurationException {
		return parseTolerant(SettingsSections.readText(file));
	}

	static GatewaySettings parseTolerant(String text) throws InvalidConfigurationException {
		List<ConfigurationProblem> replacedValues = new ArrayList<>();
		return parse(SettingsSections.parse(text, SECTIONS, List.of()), replacedValues::add, replacedValues);
	}

	/**
	 * Parses settings.
	 * @param text the text
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static GatewaySettings parse(String text) throws InvalidConfigurationException {
		SettingsSections sections = SettingsSections.parse(text, SECTIONS, List.of());
		return parse(sections, sections.problems()::add, List.of());
	}

	private static GatewaySettings parse(SettingsSections sections, Consumer<ConfigurationProblem> replaced,
			List<ConfigurationProblem> replacedValues) throws InvalidConfigurationException {
		// A gateway connects to its peers in the role of an entry.
		ProcessSettings.Process process = SectionParsers.process(sections.reader("process"), Role.ENTRY);
		Map<DataCentreName, RegionName> regions = regions(sections);
		RegistrySettings registry = RegistrySettings.of(sections.reader("registry"));
		Callers callers = callers(sections.reader("callers"), replaced);
		PeerSettings peers = PeerSettings.listening(sections.reader("peers"));
		ProcessSettings.Operators operators = SectionParsers.operators(sections.reader("operators"));
		ProcessSettings.Shutdown shutdown = SectionParsers.shutdown(sections.reader("shutdown"));
		int keyValidityMillis = parseDuration(sections.reader("keys"), "certain-ms");
		RetryAllowance retries = retries(sections.reader("retries"), replaced);
		Weights weights = weights(sections.reader("weights"), replaced);
		ColdRunners coldRunners = coldRunners(sections.reader("cold-runners"), replaced);
		Routing routing = routing(sections.reader("routing"), replaced);
		long slowReaderBytes = slowReaderBytes(sections.reader("slow-readers"));
		long requestBodyBytes = requestBodyBytes(sections.reader("request-bodies"));
		sections.problems().throwIfAny();
		return new GatewaySettings(process, regions, registry, callers, peers, operators, shutdown, keyValidityMillis,
				retries, weights, coldRunners, routing, slowReaderBytes, requestBodyBytes, replacedValues);
	}

	/*
	 * Without a readable value the limit of the operating system applies.
	 */
	private static Callers callers(SectionReader reader, Consumer<ConfigurationProblem> replaced) {
		InetSocketAddress listen = reader.value("listen", null, AddressFormatter::parse);
		int openFiles = reader.text("max-open-files", "").isEmpty() ? 0
				: reader.limitOrElse("max-open-files", "", 0, Integer.MAX_VALUE, 0, replaced);
		reader.checkUnknownKeys();
		return new Callers(listen, (openFiles > 0) ? OptionalInt.of(openFiles) : OptionalInt.empty());
	}

	private static long slowReaderBytes(SectionReader reader) {
		int kilobytes = reader.number("memory-kb", DEFAULT_SLOW_READER_KB, MIN_SLOW_READER_KB, MAX_SLOW_READER_KB);
		reader.checkUnknownKeys();
		return kilobytes * BYTES_PER_KB;
	}

	private static long requestBodyBytes(SectionReader reader) {
		int kilobytes = reader.number("memory-kb", DEFAULT_REQUEST_BODY_KB, MIN_REQUEST_BODY_KB, MAX_REQUEST_BODY_KB);
		reader.checkUnknownKeys();
		return kilobytes * BYTES_PER_KB;
	}

	private static Map<DataCentreName, RegionName> regions(SettingsSections sections) {
		SectionReader reader = sections.reader("data-centres");
		Map<DataCentreName, RegionName> regions = new HashMap<>();
		for (String name : sections.section("data-centres").values().keySet()) {
			DataCentreName dataCentre = reader.value(name, null, name, DataCentreName::new);
			RegionName region = reader.value(name, null, RegionName::new);
			if (dataCentre != null && region != null) {
				regions.put(dataCentre, region);
			}
		}
		return regions;
	}

	/**
	 * Parses a section whose only key is a duration.
	 * @param reader the reader of the section
	 * @param key the key
	 * @return the duration, in milliseconds
	 */
	static int parseDuration(SectionReader reader, String key) {
		int millis = reader.limit(key, 1, MAX_DURATION_MILLIS);
		reader.checkUnknownKeys();
		return millis;
	}

	private static Weights weights(SectionReader reader, Consumer<ConfigurationProblem> replaced) {
		int changeMillis = reader.limit("change-ms", 1, MAX_DURATION_MILLIS);
		int settlingMillis = reader.limitOrElse("settling-ms", "0", 0, MAX_DURATION_MILLIS, 0, replaced);
		reader.checkUnknownKeys();
		return new Weights(changeMillis, settlingMillis);
	}

	/*
	 * Without a readable allowance no retries are made, and without a readable window it
	 * applies to the longest one.
	 */
	private static RetryAllowance retries(SectionReader reader, Consumer<ConfigurationProblem> replaced) {
		double ratio = valueOrElse(reader, "ratio", 0.0, GatewaySettings::ratio, replaced);
		int freeRetries = reader.limitOrElse("free", "", 0, MAX_FREE_RETRIES, 0, replaced);
		long windowMillis = valueOrElse(reader, "window-s", MAX_RETRY_WINDOW_SECONDS * MILLIS_PER_SECOND,
				GatewaySettings::windowMillis, replaced);
		reader.checkUnknownKeys();
		return new RetryAllowance(ratio, freeRetries, windowMillis);
	}

	/*
	 * Without readable values the requests stay within the published rate of a cold
	 * runner.
	 */
	private static ColdRunners coldRunners(SectionReader reader, Consumer<ConfigurationProblem> replaced) {
		double overage = valueOrElse(reader, "overage", 1.0, (text) -> nonNegative(text, 1), replaced);
		double allowance = valueOrElse(reader, "allowance", 0.0, (text) -> nonNegative(text, 0), replaced);
		reader.checkUnknownKeys();
		return new ColdRunners(overage, allowance);
	}

	private static Routing routing(SectionReader reader, Consumer<ConfigurationProblem> replaced) {
		ByCost byCost = valueOrElse(reader, "by-cost", ByCost.NEVER, GatewaySettings::byCost, replaced);
		reader.checkUnknownKeys();
		return new Routing(byCost);
	}

	private static ByCost byCost(String text) {
		return switch (text) {
			case "true" -> ByCost.ALWAYS;
			case "if-slowdown-stated" -> ByCost.IF_SLOWDOWN_STATED;
			case "false", "" -> ByCost.NEVER;
			default -> throw new IllegalArgumentException("write true, if-slowdown-stated or false");
		};
	}

	private static double nonNegative(String text, double valueIfEmpty) {
		try {
			double value = text.isEmpty() ? valueIfEmpty : Double.parseDouble(text);
			if (value >= 0 && value <= MAX_COLD_VALUE) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("write a number from 0 to " + MAX_COLD_VALUE, ex);
		}
		throw new IllegalArgumentException("write a number from 0 to " + MAX_COLD_VALUE);
	}

	private static <T> T valueOrElse(SectionReader reader, String key, T safeValue, Function<String, T> parser,
			Consumer<ConfigurationProblem> replaced) {
		String text = reader.text(key, "");
		try {
			return parser.apply(text);
		}
		catch (IllegalArgumentException ex) {
			replaced.accept(new ConfigurationProblem(ConfigurationProblem.Kind.INVALID_VALUE, reader.title(), key, text,
					ex.getMessage()));
			return safeValue;
		}
	}

	// A window that is counted too long allows fewer retries, so fractions are rounded
	// up.
	private static long windowMillis(String text) {
		try {
			BigDecimal seconds = new BigDecimal(text);
			if (seconds.signum() > 0 && seconds.compareTo(BigDecimal.valueOf(MAX_RETRY_WINDOW_SECONDS)) <= 0) {
				return seconds.multiply(BigDecimal.valueOf(MILLIS_PER_SECOND))
					.setScale(0, RoundingMode.CEILING)
					.longValueExact();
			}
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("write a number of seconds", ex);
		}
		throw new IllegalArgumentException("write a number of seconds from 0 to " + MAX_RETRY_WINDOW_SECONDS);
	}

	private static double ratio(String text) {
		try {
			double ratio = Double.parseDouble(text);
			if (ratio >= 0 && ratio <= 1) {
				return ratio;
			}
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("write a number from 0 to 1", ex);
		}
		throw new IllegalArgumentException("write a number from 0 to 1");
	}

	/**
	 * Where callers connect. Immutable.
	 *
	 * @param listen the address
	 * @param openFiles the number of files and sockets that the process may open, empty
	 * for the limit of the operating system
	 */
	public record Callers(InetSocketAddress listen, OptionalInt openFiles) {

	}

	/**
	 * The times for changing the version of weights. Immutable.
	 *
	 * @param changeMillis the time after its declaration by which a version must be in
	 * use everywhere, in milliseconds
	 * @param settlingMillis the time after its start for which a process may continue to
	 * use older versions if it cannot determine when a newer one was declared, in
	 * milliseconds
	 */
	public record Weights(long changeMillis, long settlingMillis) {

		public Weights {
			if (changeMillis < 1 || settlingMillis < 0) {
				throw new IllegalArgumentException(
						"changeMillis must be positive and settlingMillis must not be negative");
			}
		}

	}

	/**
	 * The requests that all gateways together may send to one cold runner in any second:
	 * the published rate multiplied by the overage, plus the allowance. Immutable.
	 *
	 * @param overage the factor of the published rate
	 * @param allowance the requests in addition
	 */
	public record ColdRunners(double overage, double allowance) {

		/**
		 * Returns the requests that all gateways together may send to one cold runner in
		 * any second.
		 * @param requestsPerSecond the published rate
		 * @return the number of requests
		 */
		public double maxRequests(double requestsPerSecond) {
			return requestsPerSecond * this.overage + this.allowance;
		}

	}

	/**
	 * How runners are chosen. Immutable.
	 *
	 * @param byCost for which services the choice depends on the expected cost of calls
	 * and on the work that is left at runners
	 */
	public record Routing(ByCost byCost) {

		public Routing {
			Objects.requireNonNull(byCost, "byCost must not be null");
		}

	}

	/**
	 * The services whose runners are chosen by the expected cost of calls.
	 */
	public enum ByCost {

		/** No service. */
		NEVER,

		/** Services whose runners state how slow their machines are at the moment. */
		IF_SLOWDOWN_STATED,

		/** All services. */
		ALWAYS

	}

}
