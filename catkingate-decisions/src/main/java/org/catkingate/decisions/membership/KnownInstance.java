package org.catkingate.decisions.membership;

import java.util.Objects;

import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;

/**
 * An instance that this process remembers, with the state of the connection attempts to
 * it. Immutable and safe for use by any thread.
 *
 * @param instance the record from the instance list of the platform, or one created from
 * the announcements of the instance
 * @param unlistedSinceMillis since when the instance is missing from the list, in
 * milliseconds; 0 while it is listed
 * @param failedDials the number of consecutive failed attempts to connect
 * @param nextDialAtMillis the time from which the next attempt may be made, in
 * milliseconds
 * @param dialTimeoutAtMillis when the attempt in progress times out, in milliseconds; 0
 * if there is none
 * @since 0.1
 */
public record KnownInstance(InstanceRecord instance, long unlistedSinceMillis, int failedDials, long nextDialAtMillis,
		long dialTimeoutAtMillis) {

	public KnownInstance {
		Objects.requireNonNull(instance, "instance must not be null");
	}

	static KnownInstance of(InstanceRecord instance, long unlistedSinceMillis) {
		return new KnownInstance(instance, unlistedSinceMillis, 0, 0, 0);
	}

	boolean isListed() {
		return this.unlistedSinceMillis == 0;
	}

	boolean canDial(long nowMillis) {
		return this.instance.address().getPort() != 0 && this.dialTimeoutAtMillis == 0
				&& nowMillis >= this.nextDialAtMillis;
	}

	KnownInstance withListedRecord(InstanceRecord record) {
		boolean hasMoved = !record.address().equals(this.instance.address());
		return new KnownInstance(record, 0, hasMoved ? 0 : this.failedDials, hasMoved ? 0 : this.nextDialAtMillis,
				this.dialTimeoutAtMillis);
	}

	KnownInstance withAnnouncedLabels(Labels labels) {
		if (isListed()) {
			return this;
		}
		InstanceRecord relabelled = new InstanceRecord(this.instance.id(), this.instance.role(),
				this.instance.address(), this.instance.dataCentre(), this.instance.region(), labels,
				this.instance.leaving());
		return new KnownInstance(relabelled, this.unlistedSinceMillis, this.failedDials, this.nextDialAtMillis,
				this.dialTimeoutAtMillis);
	}

	KnownInstance withUnlistedSince(long nowMillis) {
		return isListed() ? new KnownInstance(this.instance, nowMillis, this.failedDials, this.nextDialAtMillis,
				this.dialTimeoutAtMillis) : this;
	}

	KnownInstance withDialStarted(long nowMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, this.failedDials, this.nextDialAtMillis,
				nowMillis + MembershipTimes.DIAL_TIMEOUT_MILLIS);
	}

	KnownInstance withFailedDial(long retryAtMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, this.failedDials + 1, retryAtMillis, 0);
	}

	KnownInstance withConnection(long retryAtMillis) {
		return new KnownInstance(this.instance, this.unlistedSinceMillis, 0, retryAtMillis, 0);
	}

	KnownInstance withLostConnection(long retryAtMillis) {
		return (this.dialTimeoutAtMillis != 0) ? this : withConnection(retryAtMillis);
	}

}
