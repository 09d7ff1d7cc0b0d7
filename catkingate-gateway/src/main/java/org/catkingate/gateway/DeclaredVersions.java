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
import org.catkingate.model.ModelName;
import org.catkingate.wire.Runners;

/**
 * Since when versions of models are declared, by which older ones are retired. The
 * registry does not tell; the moment is the earliest at which this process or another
 * heard of a version. Used by the traffic thread only.
 */
final class DeclaredVersions {

	private static final Logger logger = LoggerFactory.getLogger(DeclaredVersions.class);

	/** The end of a version that no other replaces; ages can be taken from it. */
	static final long NO_END = RunnerOption.WITHOUT_END;

	private final Map<ModelName, SortedMap<Long, Long>> declaredAtMillis = new HashMap<>();

	/** What the first view of the registry held, unless somebody tells its age. */
	private final Map<ModelName, Long> addInitial = new HashMap<>();

	private final long changeMillis;

	private final long settledAtMillis;

	/**
	 * Starts without any version.
	 * @param changeMillis how long after its declaration a version must be everywhere, in
	 * milliseconds
	 * @param settledAtMillis until when this process may learn the age of versions that
	 * it found declared, in monotonic milliseconds; from then on they must be everywhere
	 */
	DeclaredVersions(long changeMillis, long settledAtMillis) {
		this.changeMillis = changeMillis;
		this.settledAtMillis = settledAtMillis;
	}

	/**
	 * Takes the versions that this process finds when it reads the registry first.
	 * @param versions the version of each model
	 */
	void addInitial(Map<ModelName, Long> versions) {
		this.addInitial.putAll(versions);
	}

	void addDeclared(Map<ModelName, Long> versions, long nowMillis) {
		versions.forEach((model, version) -> {
			if (!version.equals(this.addInitial.get(model))) {
				recordDeclaration(model, version, nowMillis, nowMillis);
			}
		});
	}

	/**
	 * Takes another process's word, which may come before the registry's.
	 * @param told what the other says
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void addReported(Runners.VersionDeclared told, long nowMillis) {
		if (told.isAgeKnown()) {
			recordDeclaration(told.model(), told.version(), nowMillis - told.ageMillis(), nowMillis);
		}
	}

	private void recordDeclaration(ModelName model, long version, long atMillis, long nowMillis) {
		SortedMap<Long, Long> versions = this.declaredAtMillis.computeIfAbsent(model, (key) -> new TreeMap<>());
		Long known = versions.get(version);
		if ((known != null && known <= atMillis) || version < newestDue(versions, nowMillis)) {
			return;
		}
		versions.put(version, atMillis);
		logger.atInfo()
			.addKeyValue("event", "version-age")
			.addKeyValue("model", model)
			.addKeyValue("version", version)
			.addKeyValue("age-ms", nowMillis - atMillis)
			.addKeyValue("age-before-ms", (known != null) ? nowMillis - known : "unknown")
			.addKeyValue("due-in-ms", atMillis + this.changeMillis - nowMillis)
			.log("requests may begin on older versions until this version is due");
	}

	private long newestDue(SortedMap<Long, Long> versions, long nowMillis) {
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
	 * Returns until when requests may begin on a version.
	 * @param model the model
	 * @param version the version
	 * @return the first moment at which a newer version must be everywhere, in monotonic
	 * milliseconds; {@link #NO_END} if none is declared
	 */
	long endMillis(ModelName model, long version) {
		long end = NO_END;
		for (long heard : declarationTimes(model).tailMap(version + 1).values()) {
			end = Math.min(end, heard + this.changeMillis);
		}
		Long atStart = this.addInitial.get(model);
		if (atStart != null && atStart > version && !hasDeclarationTime(model, atStart)) {
			end = Math.min(end, this.settledAtMillis);
		}
		return end;
	}

	/**
	 * Lists what is declared, for other processes. Versions older than one that is due
	 * are over whatever their own age is, and are forgotten.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return a message for each version
	 */
	List<Runners.VersionDeclared> messages(long nowMillis) {
		List<Runners.VersionDeclared> messages = new ArrayList<>();
		this.declaredAtMillis.values().forEach((versions) -> versions.headMap(newestDue(versions, nowMillis)).clear());
		this.declaredAtMillis.forEach((model, versions) -> versions
			.forEach((version, heard) -> messages.add(new Runners.VersionDeclared(model, version, nowMillis - heard))));
		this.addInitial.forEach((model, version) -> {
			if (!hasDeclarationTime(model, version)) {
				messages.add(new Runners.VersionDeclared(model, version, Runners.VersionDeclared.UNKNOWN_AGE));
			}
		});
		return messages;
	}

}
