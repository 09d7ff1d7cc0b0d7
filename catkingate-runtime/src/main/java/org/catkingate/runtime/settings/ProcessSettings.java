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
 * All settings of an entry or an agent. Immutable and safe for use by any thread.
 *
 * @param process the identity and location of the process
 * @param platform the addresses of the platform's services
 * @param peers the connections to other processes
 * @param operators the addresses of the endpoint for operators
 * @param shutdown the times of a graceful shutdown
 * @param callers the endpoint for callers; null for an agent
 * @param weights the storage and transfer of weights; null for an entry
 * @param runners the backend servers on the instance of an agent; empty for an entry
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

	@Override
	public long shutdownMillis() {
		return this.shutdown.totalMillis();
	}

	/**
	 * The identity and location of the process.
	 *
	 * @param role the role of the process
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
	 * The addresses of the platform's services.
	 *
	 * @param configuration the base URI of the configuration service
	 * @param instances the base URI of the list of instances
	 */
	public record Platform(URI configuration, URI instances) {

	}

	/**
	 * The connections to other processes.
	 *
	 * @param listen the address that an agent listens on; null for an entry
	 * @param sharedKey the key that all processes share
	 * @param ioThreads the number of I/O threads for the connections
	 */
	public record Peers(InetSocketAddress listen, SharedKey sharedKey, int ioThreads) {

	}

	/**
	 * The addresses of the endpoint for operators.
	 *
	 * @param listen the address
	 * @param alsoListen a second address with the same content, for metrics that are
	 * collected on another port than readiness
	 */
	public record Operators(InetSocketAddress listen, Optional<InetSocketAddress> alsoListen) {

		/**
		 * Returns the addresses.
		 * @return one or two addresses, the one for readiness first
		 */
		public List<InetSocketAddress> addresses() {
			return this.alsoListen.map((also) -> List.of(this.listen, also)).orElseGet(() -> List.of(this.listen));
		}

	}

	/**
	 * The times of a graceful shutdown.
	 *
	 * @param noticeMillis how long the readiness check fails before new requests are
	 * rejected, in milliseconds
	 * @param limitMillis the time limit for requests in progress, in milliseconds
	 */
	public record Shutdown(long noticeMillis, long limitMillis) {

		/**
		 * Returns the time limit for the whole shutdown.
		 * @return the time in milliseconds
		 */
		long totalMillis() {
			return this.noticeMillis + this.limitMillis;
		}

	}

	/**
	 * The endpoint for callers.
	 *
	 * @param listen the address on which callers connect
	 * @param ioThreads the number of I/O threads for their connections
	 * @param maxBodyBytes the maximum length of a request body, in bytes
	 * @param maxHeaderBytes the maximum length of the headers of a request, in bytes
	 * @param requestTimeoutMillis the timeout for a response if the caller specifies
	 * none, in milliseconds
	 */
	public record Callers(InetSocketAddress listen, int ioThreads, int maxBodyBytes, int maxHeaderBytes,
			long requestTimeoutMillis) {

	}

	/**
	 * The storage and transfer of weights.
	 *
	 * @param memoryBytes the maximum memory for weights, in bytes
	 * @param origin the origin; null if there is none
	 * @param store the weight store; null if there is none
	 * @param originBytesPerSecond the maximum rate at which this agent reads from the
	 * origin, in bytes per second
	 * @param storeBytesPerSecond the maximum rate at which it reads from the store, in
	 * bytes per second
	 * @param linkBytesPerSecond the maximum rate at which it sends to peers, in bytes per
	 * second
	 * @param preference the objective that the distribution prefers
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
	 * The objective that the distribution of weights prefers.
	 */
	public enum Preference {

		/** Minimizes the time until all selected replicas serve. */
		TIME,

		/** Minimizes the number of bytes read from the origin. */
		ORIGIN_BYTES

	}

	/**
	 * A backend server on the instance of an agent.
	 *
	 * @param id the identifier, unique for the agent
	 * @param address the address of its HTTP endpoint
	 * @param service the service that it belongs to
	 */
	public record Runner(RunnerId id, InetSocketAddress address, ServiceName service) {

	}

}
