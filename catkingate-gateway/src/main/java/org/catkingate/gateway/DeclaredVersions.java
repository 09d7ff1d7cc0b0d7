package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.pieces.VersionTimes;
import org.catkingate.model.ModelName;
import org.catkingate.wire.RunnerMessage;

/**
 * The versions of models that have been declared and the times of their declaration, from
 * which follows when older versions are retired. The registry does not record the time of
 * a declaration, so it is taken as the earliest time at which this or another process
 * detected the version. Used by the traffic thread only.
 */
final class DeclaredVersions {

	private static final Logger logger = LoggerFactory.getLogger(DeclaredVersions.class);

	/**
	 * The start limit of a version that is not replaced. Times can be subtracted from it
	 * without overflow.
	 */
	static final long NO_START_LIMIT_MILLIS = RunnerOption.NO_START_LIMIT_MILLIS;

	private final Map<ModelName, SortedMap<Long, Long>> declaredAtMillis = new HashMap<>();

	/**
	 * The versions in the first view of the registry, whose time of declaration is
	 * unknown until another process reports it.
	 */
	private final Map<ModelName, Long> initialVersions = new HashMap<>();

	private final long changeMillis;

	private final long settledAtMillis;

	/**
	 * Creates an empty collection of versions.
	 * @param changeMillis the time after its declaration within which a version must be
	 * served everywhere, in milliseconds
	 * @param settledAtMillis the time until which other processes may report the age of
	 * versions that were declared before this process started, in monotonic milliseconds;
	 * from then on these versions must be served everywhere
	 */
	DeclaredVersions(long changeMillis, long settledAtMillis) {
		this.changeMillis = changeMillis;
		this.settledAtMillis = settledAtMillis;
	}

	/**
	 * Adds the versions that the first view of the registry contains.
	 * @param versions the version of each model
	 */
	void addInitial(Map<ModelName, Long> versions) {
		this.initialVersions.putAll(versions);
	}

	void addDeclared(Map<ModelName, Long> versions, long nowMillis) {
		versions.forEach((model, version) -> {
			if (!version.equals(this.initialVersions.get(model))) {
				recordDeclaration(model, version, nowMillis, nowMillis);
			}
		});
	}

	/**
	 * Adds a version that another process reports, possibly before it is seen in the
	 * registry.
	 * @param reported the version and its age
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void addReported(RunnerMessage.VersionDeclaration reported, long nowMillis) {
		if (reported.isAgeKnown()) {
			recordDeclaration(reported.model(), reported.version(), nowMillis - reported.ageMillis(), nowMillis);
		}
	}

	private void recordDeclaration(ModelName model, long version, long declaredMillis, long nowMillis) {
		SortedMap<Long, Long> versions = this.declaredAtMillis.computeIfAbsent(model, (key) -> new TreeMap<>());
		Long previous = versions.get(version);
		if ((previous != null && previous <= declaredMillis) || version < newestDueVersion(versions, nowMillis)) {
			return;
		}
		versions.put(version, declaredMillis);
		logger.atInfo()
			.addKeyValue("event", "version-age")
			.addKeyValue("model", model)
			.addKeyValue("version", version)
			.addKeyValue("age-ms", nowMillis - declaredMillis)
			.addKeyValue("age-before-ms", (previous != null) ? nowMillis - previous : "unknown")
			.addKeyValue("due-in-ms", declaredMillis + this.changeMillis - nowMillis)
			.log("declaration time of a version updated; requests may start on older versions until it is due");
	}

	/*
	 * A version is due when the time for a version change has passed since its
	 * declaration: it must then be served everywhere.
	 */
	private long newestDueVersion(SortedMap<Long, Long> versions, long nowMillis) {
		return versions.entrySet()
			.stream()
			.filter((version) -> version.getValue() + this.changeMillis <= nowMillis)
			.mapToLong(Map.Entry::getKey)
			.max()
			.orElse(Long.MIN_VALUE);
	}

	private SortedMap<Long, Long> declarationTimes(ModelName model) {
		return this.declaredAtMillis.getOrDefault(model, Collections.emptySortedMap());
	}

	private boolean hasDeclarationTime(ModelName model, long version) {
		return declarationTimes(model).containsKey(version);
	}

	/**
	 * Returns the times that decide whether a version is still worth its bytes when a
	 * newer one is declared.
	 * @param model the model
	 * @param version the version that is replaced
	 * @return the times, never null
	 */
	VersionTimes times(ModelName model, long version) {
		return VersionTimes.of(startLimitMillis(model, version - 1), this.changeMillis);
	}

	/**
	 * Returns the time until which requests may start on a version.
	 * @param model the model
	 * @param version the version
	 * @return the earliest time at which a newer version must be served everywhere, in
	 * monotonic milliseconds; {@link #NO_START_LIMIT_MILLIS} if none is declared
	 */
	long startLimitMillis(ModelName model, long version) {
		long limit = NO_START_LIMIT_MILLIS;
		for (long declaredMillis : declarationTimes(model).tailMap(version + 1).values()) {
			limit = Math.min(limit, declaredMillis + this.changeMillis);
		}
		Long initial = this.initialVersions.get(model);
		if (initial != null && initial > version && !hasDeclarationTime(model, initial)) {
			limit = Math.min(limit, this.settledAtMillis);
		}
		return limit;
	}

	/**
	 * Returns the declared versions as messages for other processes. Removes versions
	 * that are older than one that is due: they are retired whatever their own age is.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return a message for each version
	 */
	List<RunnerMessage.VersionDeclaration> pruneAndListMessages(long nowMillis) {
		List<RunnerMessage.VersionDeclaration> messages = new ArrayList<>();
		this.declaredAtMillis.values()
			.forEach((versions) -> versions.headMap(newestDueVersion(versions, nowMillis)).clear());
		this.declaredAtMillis.forEach((model, versions) -> versions.forEach((version, declaredMillis) -> messages
			.add(new RunnerMessage.VersionDeclaration(model, version, nowMillis - declaredMillis))));
		this.initialVersions.forEach((model, version) -> {
			if (!hasDeclarationTime(model, version)) {
				messages.add(new RunnerMessage.VersionDeclaration(model, version,
						RunnerMessage.VersionDeclaration.UNKNOWN_AGE));
			}
		});
		return messages;
	}

}
