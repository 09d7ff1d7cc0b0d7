package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.model.InstanceId;

/**
 * A source of manifests and chunks. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public sealed interface Source {

	/**
	 * The origin of published weights.
	 */
	record Origin() implements Source {

		@Override
		public String toString() {
			return "origin";
		}

	}

	/**
	 * The rate-limited weight store.
	 */
	record Store() implements Source {

		@Override
		public String toString() {
			return "store";
		}

	}

	/**
	 * Another agent.
	 *
	 * @param instance the instance of the agent
	 */
	record Peer(InstanceId instance) implements Source {

		public Peer {
			Objects.requireNonNull(instance, "instance must not be null");
		}

		@Override
		public String toString() {
			return this.instance.value();
		}

	}

}
