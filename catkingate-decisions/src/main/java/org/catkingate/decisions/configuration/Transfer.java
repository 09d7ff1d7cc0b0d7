package org.catkingate.decisions.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationHead;

/**
 * A higher version whose parts are being read from the service. Immutable and safe for
 * use by any thread.
 *
 * @param head the bytes of its head
 * @param parsed the head
 * @param reading until when the answer for each part may take, in milliseconds
 * @param failures how many reads have failed in a row
 * @param reason why the last one failed; empty if none has
 * @param dueAtMillis when missing parts may be read, in milliseconds
 * @since 0.1
 */
public record Transfer(byte[] head, ConfigurationHead parsed, Map<Digest, Long> reading, int failures, String reason,
		long dueAtMillis) {

	public Transfer {
		Objects.requireNonNull(head, "head must not be null");
		Objects.requireNonNull(parsed, "parsed must not be null");
		reading = Collections.unmodifiableMap(new TreeMap<>(reading));
	}

	static Transfer of(byte[] head, ConfigurationHead parsed, long nowMillis) {
		return new Transfer(head, parsed, Map.of(), 0, "", nowMillis);
	}

	/**
	 * Returns the version whose parts are being read.
	 * @return the version, never null
	 */
	public ConfigurationVersion version() {
		return this.parsed.version();
	}

	Transfer reading(Digest part, long untilMillis) {
		Map<Digest, Long> next = new TreeMap<>(this.reading);
		next.put(part, untilMillis);
		return new Transfer(this.head, this.parsed, next, this.failures, this.reason, this.dueAtMillis);
	}

	Transfer read(Digest part) {
		return new Transfer(this.head, this.parsed, without(part), 0, "", this.dueAtMillis);
	}

	Transfer failed(Digest part, String why, long nextMillis) {
		return new Transfer(this.head, this.parsed, without(part), this.failures + 1, why, nextMillis);
	}

	private Map<Digest, Long> without(Digest part) {
		Map<Digest, Long> next = new TreeMap<>(this.reading);
		next.remove(part);
		return next;
	}

}
