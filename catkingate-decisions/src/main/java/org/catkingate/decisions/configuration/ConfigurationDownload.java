package org.catkingate.decisions.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationHead;

/**
 * A higher version whose parts are being read from the configuration service. Immutable
 * and safe for use by any thread.
 *
 * @param head the bytes of its head
 * @param parsedHead the parsed head
 * @param pendingReads the digests of the parts that are being read, each with the time at
 * which the read times out, in milliseconds
 * @param failures the number of consecutive failed reads
 * @param failureReason why the last read failed; empty if it has not
 * @param nextReadAtMillis the time from which missing parts may be read, in milliseconds
 * @since 0.1
 */
public record ConfigurationDownload(byte[] head, ConfigurationHead parsedHead, Map<Digest, Long> pendingReads,
		int failures, String failureReason, long nextReadAtMillis) {

	public ConfigurationDownload {
		Objects.requireNonNull(head, "head must not be null");
		Objects.requireNonNull(parsedHead, "parsedHead must not be null");
		pendingReads = Collections.unmodifiableMap(new TreeMap<>(pendingReads));
	}

	static ConfigurationDownload of(byte[] head, ConfigurationHead parsed, long nowMillis) {
		return new ConfigurationDownload(head, parsed, Map.of(), 0, "", nowMillis);
	}

	/**
	 * Returns the version whose parts are being read.
	 * @return the version, never null
	 */
	public ConfigurationVersion version() {
		return this.parsedHead.version();
	}

	ConfigurationDownload withPendingRead(Digest part, long timeoutAtMillis) {
		Map<Digest, Long> next = new TreeMap<>(this.pendingReads);
		next.put(part, timeoutAtMillis);
		return new ConfigurationDownload(this.head, this.parsedHead, next, this.failures, this.failureReason,
				this.nextReadAtMillis);
	}

	ConfigurationDownload withPartRead(Digest part) {
		return new ConfigurationDownload(this.head, this.parsedHead, pendingReadsWithout(part), 0, "",
				this.nextReadAtMillis);
	}

	ConfigurationDownload withFailedRead(Digest part, String cause, long retryAtMillis) {
		return new ConfigurationDownload(this.head, this.parsedHead, pendingReadsWithout(part), this.failures + 1,
				cause, retryAtMillis);
	}

	private Map<Digest, Long> pendingReadsWithout(Digest part) {
		Map<Digest, Long> next = new TreeMap<>(this.pendingReads);
		next.remove(part);
		return next;
	}

}
