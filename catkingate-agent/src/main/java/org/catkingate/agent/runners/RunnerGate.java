package org.catkingate.agent.runners;

import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.Digest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * Gate in front of one runner. Requests enter only while it is open and only for the
 * version that it was opened with, so once it is closed and empty, no request reaches the
 * runner until it is opened again. Safe for use by any thread: the control thread opens
 * and closes it, and I/O threads enter and leave with requests.
 *
 * @since 0.1
 */
public final class RunnerGate {

	private final RunnerId runner;

	private final ServiceName service;

	private ServedVersion servedVersion;

	private int inProgress;

	private RunnerGate(RunnerId runner, ServiceName service) {
		this.runner = runner;
		this.service = service;
	}

	/**
	 * Creates a closed gate.
	 * @param runner the runner
	 * @param service the service that it belongs to
	 * @return the gate, never null
	 */
	public static RunnerGate closed(RunnerId runner, ServiceName service) {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(service, "service must not be null");
		return new RunnerGate(runner, service);
	}

	/**
	 * Returns the runner behind the gate.
	 * @return the runner, never null
	 */
	public RunnerId runner() {
		return this.runner;
	}

	/**
	 * Returns the service that the runner belongs to.
	 * @return the service, never null
	 */
	public ServiceName service() {
		return this.service;
	}

	/**
	 * Opens the gate.
	 * @param version the version that the runner holds; null for a plain service
	 * @param digest the digest of its weights; null for a plain service
	 */
	public synchronized void open(VersionId version, Digest digest) {
		this.servedVersion = new ServedVersion(version, digest);
	}

	/**
	 * Closes the gate. Requests inside continue.
	 */
	public synchronized void close() {
		this.servedVersion = null;
	}

	/**
	 * Closes the gate if it is still open with the given weights. Called when a response
	 * named other weights.
	 * @param digest the weights that the gate was opened with
	 * @return whether it was closed by this call
	 */
	public synchronized boolean closeIfServing(Digest digest) {
		if (this.servedVersion == null || !Objects.equals(this.servedVersion.digest(), digest)) {
			return false;
		}
		this.servedVersion = null;
		return true;
	}

	/**
	 * Admits a request if the gate is open for its version. Each admission must be
	 * followed by one {@link #leave()}.
	 * @param required the version that the request requires; null for a plain service
	 * @return what the runner serves, or empty if the request was not admitted
	 */
	public synchronized Optional<ServedVersion> tryEnter(VersionId required) {
		if (this.servedVersion == null || !Objects.equals(this.servedVersion.version(), required)) {
			return Optional.empty();
		}
		this.inProgress++;
		return Optional.of(this.servedVersion);
	}

	/**
	 * Records that an admitted request has ended.
	 */
	public synchronized void leave() {
		if (this.inProgress <= 0) {
			throw new IllegalStateException("no request is inside the gate of " + this.runner);
		}
		this.inProgress--;
	}

	/**
	 * Returns the version and the weights that the gate was opened with.
	 * @return what the runner serves, or empty while the gate is closed
	 */
	public synchronized Optional<ServedVersion> servedVersion() {
		return Optional.ofNullable(this.servedVersion);
	}

	/**
	 * Returns the number of requests inside.
	 * @return the number of requests that have entered and not left
	 */
	public synchronized int inProgress() {
		return this.inProgress;
	}

	/**
	 * Version and weights that a runner serves. Immutable.
	 *
	 * @param version the version; null for a plain service
	 * @param digest the digest of its weights; null for a plain service
	 */
	public record ServedVersion(VersionId version, Digest digest) {

	}

}
