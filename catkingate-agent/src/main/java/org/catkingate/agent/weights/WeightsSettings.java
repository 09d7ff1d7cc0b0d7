package org.catkingate.agent.weights;

import java.net.URI;
import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.model.Labels;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;

/**
 * Settings of the distribution at one agent. Immutable and safe for use by any thread.
 *
 * @param own the instance with its data centre and region
 * @param labels its labels
 * @param memoryBytes the memory for chunks, in bytes
 * @param origin the origin's address; null for none
 * @param store the weight store's address; null for none
 * @param preference whether to minimize the time or the bytes from the origin
 * @param rates the limits on transfer rates
 * @param startedAtEpochSeconds the time at which the process was started, by the wall
 * clock, in seconds since 1970
 * @param runners the runners
 * @since 0.1
 */
public record WeightsSettings(InstanceLocation own, Labels labels, long memoryBytes, URI origin, URI store,
		SourcePreference preference, Rates rates, long startedAtEpochSeconds, List<Runner> runners) {

	public WeightsSettings {
		Objects.requireNonNull(own, "own must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
		Objects.requireNonNull(preference, "preference must not be null");
		Objects.requireNonNull(rates, "rates must not be null");
		runners = List.copyOf(runners);
	}

	/**
	 * Limits on transfer rates, each in bytes per second, 0 for no limit.
	 *
	 * @param origin the limit for data from the origin
	 * @param store the limit for data from the weight store
	 * @param upload the limit for data sent to peers
	 * @param download the limit for data from peers and sources together
	 */
	public record Rates(long origin, long store, long upload, long download) {

		/**
		 * Returns rates without limits.
		 * @return the rates, never null
		 */
		public static Rates unlimited() {
			return new Rates(0, 0, 0, 0);
		}

	}

	/**
	 * One runner with its address.
	 *
	 * @param runner the runner
	 * @param service the service that it belongs to
	 * @param address its address, such as {@code http://127.0.0.1:9001}
	 */
	public record Runner(RunnerId runner, ServiceName service, URI address) {

		public Runner {
			Objects.requireNonNull(runner, "runner must not be null");
			Objects.requireNonNull(service, "service must not be null");
			Objects.requireNonNull(address, "address must not be null");
		}

	}

}
