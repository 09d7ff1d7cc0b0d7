package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.slf4j.event.Level;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.wire.SharedKey;

/**
 * All settings of one process. Immutable and safe for use by any thread.
 *
 * @param process who and where the process is
 * @param platform where the platform's services are
 * @param peers how other processes are met
 * @param operators where operators are answered
 * @param shutdown how the process ends
 * @param callers how callers are met; null for an agent
 * @param weights how weights are kept and fetched; null for an entry
 * @param runners the backend servers beside an agent; empty for an entry
 * @since 0.1
 */
public record ProcessSettings(Process process, Platform platform, Peers peers, Operators operators, Shutdown shutdown,
		Callers callers, Weights weights, List<Runner> runners) implements RoleSettings {

	public ProcessSettings {
		Objects.requireNonNull(process, "process must not be null");
		Objects.requireNonNull(platform, "platform must not be null");
		Objects.requireNonNull(peers, "peers must not be null");
		Objects.requireNonNull(operators, "operators must not be null");
		Objects.requireNonNull(shutdown, "shutdown must not be null");
		runners = List.copyOf(runners);
	}

	/**
	 * Who and where the process is.
	 *
	 * @param role the role that it plays
	 * @param instance the instance that it runs on
	 * @param dataCentre the data centre
	 * @param region the region
	 * @param labels the instance's labels
	 * @param logLevel the lowest level that is logged
	 */
	public record Process(Role role, InstanceId instance, DataCentreName dataCentre, RegionName region, Labels labels,
			Level logLevel) {

	}

	/**
	 * Where the platform's services are.
	 *
	 * @param configuration the configuration service
	 * @param instances the list of instances
	 */
	public record Platform(URI configuration, URI instances) {

	}

	/**
	 * How other processes are met.
	 *
	 * @param listen where an agent listens; null for an entry
	 * @param sharedKey the key that all processes share
	 * @param ioThreads how many threads serve the connections
	 */
	public record Peers(InetSocketAddress listen, SharedKey sharedKey, int ioThreads) {

	}

	/**
	 * Where operators are answered.
	 *
	 * @param listen the address
	 * @param alsoListen a second address with the same answers, for metrics that are
	 * collected at another port than readiness
	 */
	public record Operators(InetSocketAddress listen, Optional<InetSocketAddress> alsoListen) {

		/**
		 * Lists the addresses.
		 * @return one or two, that of readiness first
		 */
		public List<InetSocketAddress> addresses() {
			return this.alsoListen.map((also) -> List.of(this.listen, also)).orElseGet(() -> List.of(this.listen));
		}

	}

	/**
	 * How the process ends.
	 *
	 * @param noticeMillis how long the readiness check fails before callers are refused,
	 * in milliseconds
	 * @param limitMillis how long requests in progress may go on, in milliseconds
	 */
	public record Shutdown(long noticeMillis, long limitMillis) {

	}

	/**
	 * How callers are met.
	 *
	 * @param listen where callers connect
	 * @param ioThreads how many threads serve their connections
	 * @param maximumBodyBytes the longest body of a request, in bytes
	 * @param maximumHeaderBytes the longest headers of a request, in bytes
	 * @param requestTimeoutMillis the time for an answer if the caller names none, in
	 * milliseconds
	 */
	public record Callers(InetSocketAddress listen, int ioThreads, int maximumBodyBytes, int maximumHeaderBytes,
			long requestTimeoutMillis) {

	}

	/**
	 * How weights are kept and fetched.
	 *
	 * @param memoryBytes how much memory weights may take, in bytes
	 * @param origin the origin; null if there is none
	 * @param store the weight store; null if there is none
	 * @param originBytesPerSecond how fast this agent may read from the origin, in bytes
	 * a second
	 * @param storeBytesPerSecond how fast it may read from the store, in bytes a second
	 * @param linkBytesPerSecond how fast it may send to peers, in bytes a second
	 * @param preference what distribution weighs more
	 */
	public record Weights(long memoryBytes, URI origin, URI store, long originBytesPerSecond, long storeBytesPerSecond,
			long linkBytesPerSecond, Preference preference) {

		/**
		 * Returns the origin.
		 * @return the origin, or empty if there is none
		 */
		public Optional<URI> originIfAny() {
			return Optional.ofNullable(this.origin);
		}

		/**
		 * Returns the weight store.
		 * @return the store, or empty if there is none
		 */
		public Optional<URI> storeIfAny() {
			return Optional.ofNullable(this.store);
		}

	}

	/**
	 * What distribution weighs more.
	 */
	public enum Preference {

		/** The time until all selected replicas serve. */
		TIME,

		/** The bytes read from the origin. */
		ORIGIN_BYTES

	}

	/**
	 * One backend server beside an agent.
	 *
	 * @param id its name among those of the agent
	 * @param address where it answers HTTP
	 * @param service the service that it belongs to
	 */
	public record Runner(RunnerId id, InetSocketAddress address, ServiceName service) {

	}

}
