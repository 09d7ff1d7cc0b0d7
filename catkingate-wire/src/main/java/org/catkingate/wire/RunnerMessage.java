package org.catkingate.wire;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.catkingate.model.ModelName;

/**
 * A message about runners and the versions that they serve.
 *
 * @since 0.1
 */
public sealed interface RunnerMessage extends Message {

	/**
	 * The state of the runner on the instance of the sender.
	 *
	 * @param address the address of the runner, as IP:PORT
	 * @param startedAtEpochMillis the time at which it started, in milliseconds since the
	 * epoch
	 * @param loading whether it is loading weights and accepts no new requests
	 * @param running the number of requests in progress
	 * @param waiting the number of queued requests
	 * @param models the version that it serves, by model name
	 * @param readyInMillis the estimated time until it serves the newest declared
	 * versions, in milliseconds; {@link #UNKNOWN_READY_TIME} if it is unknown or no newer
	 * version is pending
	 */
	record RunnerUpdate(String address, long startedAtEpochMillis, boolean loading, int running, int waiting,
			Map<String, Long> models, long readyInMillis) implements RunnerMessage {

		/** The time that a loader reports if there is no estimate. */
		public static final long UNKNOWN_READY_TIME = -1;

		public RunnerUpdate {
			Objects.requireNonNull(address, "address must not be null");
			models = Map.copyOf(models);
			// validates the names, so that decoding rejects a message with an invalid one
			models.keySet().forEach(ModelName::new);
		}

		/**
		 * Returns the versions that the runner serves.
		 * @return the version by model
		 */
		public Map<ModelName, Long> versions() {
			return this.models.entrySet()
				.stream()
				.collect(Collectors.toUnmodifiableMap((model) -> new ModelName(model.getKey()), Map.Entry::getValue));
		}

	}

	/**
	 * A report that the receiver should forward to all other gateways. A loader sends its
	 * report in this form to one gateway, and as {@link RunnerUpdate} to others.
	 *
	 * @param update the report
	 */
	record ForwardedUpdate(RunnerUpdate update) implements RunnerMessage {

		public ForwardedUpdate {
			Objects.requireNonNull(update, "update must not be null");
		}

	}

	/**
	 * The reports that a gateway has received for forwarding since it last sent such a
	 * message.
	 *
	 * @param updates the newest report of each runner
	 */
	record RunnerUpdates(List<RunnerUpdate> updates) implements RunnerMessage {

		public RunnerUpdates {
			updates = List.copyOf(updates);
		}

	}

	/**
	 * The declared version of a model that runners should serve, as last observed by the
	 * sender.
	 *
	 * @param model the model
	 * @param version the version
	 * @param ageMillis the time since the sender first observed the version, in
	 * milliseconds; {@link #UNKNOWN_AGE} if it was already declared when the sender
	 * started
	 */
	record VersionDeclaration(ModelName model, long version, long ageMillis) implements RunnerMessage {

		/** The age that a process reports if the age is unknown to it. */
		public static final long UNKNOWN_AGE = -1;

		public VersionDeclaration {
			Objects.requireNonNull(model, "model must not be null");
		}

		/**
		 * Returns whether the age is known.
		 * @return {@code true} if the age is known
		 */
		public boolean isAgeKnown() {
			return this.ageMillis >= 0;
		}

	}

	/**
	 * The position of the receiver's runner in the sequence in which the runners of a
	 * model switch versions.
	 *
	 * @param model the model
	 * @param position the position, from 0
	 * @param total the number of runners that switch
	 */
	record RolloutPosition(ModelName model, int position, int total) implements RunnerMessage {

		public RolloutPosition {
			Objects.requireNonNull(model, "model must not be null");
			if (position < 0 || position >= total) {
				throw new IllegalArgumentException("position must be at least 0 and less than the number of runners");
			}
		}

	}

}
