package org.catkingate.decisions.membership;

import java.util.Objects;

import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;

/**
 * An instance and why it is remembered. Immutable and safe for use by any thread.
 *
 * @param instance the platform's record, or one made from what the instance told
 * @param unlistedSinceMillis since when the list lacks it, in milliseconds; 0 while it is
 * listed
 * @param attempts how many connections to it have failed in a row
 * @param dialAtMillis when the next connection may be tried, in milliseconds
 * @param dialUntilMillis until when an attempt is in progress, in milliseconds; 0 if none
 * is
 * @since 0.1
 */
public record KnownInstance(InstanceRecord instance, long unlistedSinceMillis, int attempts, long dialAtMillis,
		long dialUntilMillis) {

	public KnownInstance {
		Objects.requireNonNull(instance, "instance must not be null");
	}

	static KnownInstance of(InstanceRecord instance, long unlistedSinceMillis) {
		return new KnownInstance(instance, unlistedSinceMillis, 0, 0, 0);
	}

	boolean isListed() {
		return this.unlistedSinceMillis == 0;
	}

	boolean mayDial(long nowMillis) {
		return this.instance.address().getPort() != 0 && this.dialUntilMillis == 0 && nowMillis >= this.dialAtMillis;
	}

	KnownInstance listed(InstanceRecord record) {
		boolean moved = !record.address().equals(this.instance.address());
		return new KnownInstance(record, 0, moved ? 0 : this.attempts, moved ? 0 : this.dialAtMillis,
				this.dialUntilMillis);
	}

	KnownInstance withOwnLabels(Labels labels) {
		if (isListed()) {
			return this;
		}
		InstanceRecord relabelled = new InstanceRecord(this.instance.id(), this.instance.role(),
				this.instance.address(), this.instance.dataCentre(), this.instance.region(), labels,
				this.instance.leaving());
		return new KnownInstance(relabelled, this.unlistedSinceMillis, this.attempts, this.dialAtMillis,
				this.dialUntilMillis);
	}

	KnownInstance unlisted(long nowMillis) {
		return isListed()
				? new KnownInstance(this.instance, nowMillis, this.attempts, this.dialAtMillis, this.dialUntilMillis)
				: this;
	}

	KnownInstance dialling(long nowMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, this.attempts, this.dialAtMillis,
				nowMillis + MembershipTimes.DIAL_MILLIS);
	}

	KnownInstance dialFailed(long nextMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, this.attempts + 1, nextMillis, 0);
	}

	KnownInstance met(long nextMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, 0, nextMillis, 0);
	}

	KnownInstance lost(long nextMillis) {
		return (this.dialUntilMillis != 0) ? this : met(nextMillis);
	}

}
