package org.catkingate.wire;

import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.catkingate.model.ModelName;

/**
 * Messages about runners.
 *
 * @since 0.1
 */
public sealed interface Runners extends Message {

	/**
	 * What the runner beside the sender does.
	 *
	 * @param address where the runner is called, as IP:PORT
	 * @param startedAtEpochMillis when it started, in milliseconds since the epoch
	 * @param loading whether it loads weights and takes nothing new
	 * @param running how many requests it works on
	 * @param waiting how many wait at it
	 * @param models the version of each model that it serves
	 */
	record RunnerTold(String address, long startedAtEpochMillis, boolean loading, int running, int waiting,
			Map<String, Long> models) implements Runners {

		public RunnerTold {
			Objects.requireNonNull(address, "address must not be null");
			models = Map.copyOf(models);
			// a message with a name that is none is refused when it is decoded
			models.keySet().forEach(ModelName::new);
		}

		/**
		 * Tells which versions the runner serves.
		 * @return the version of each model
		 */
		public Map<ModelName, Long> versions() {
			return this.models.entrySet()
				.stream()
				.collect(Collectors.toUnmodifiableMap((model) -> new ModelName(model.getKey()), Map.Entry::getValue));
		}

	}

	/**
	 * The version of a model that runners are to serve, as the sender believes.
	 *
	 * @param model the model
	 * @param version the version
	 * @param ageMillis how long ago it was heard of, in milliseconds;
	 * {@link #UNKNOWN_AGE} if the sender found it declared when it started
	 */
	record VersionDeclared(ModelName model, long version, long ageMillis) implements Runners {

		/** The age that a process tells which does not know it. */
		public static final long UNKNOWN_AGE = -1;

		public VersionDeclared {
			Objects.requireNonNull(model, "model must not be null");
		}

		/**
		 * Tells whether the sender knows the age.
		 * @return whether it is known
		 */
		public boolean isAgeKnown() {
			return this.ageMillis >= 0;
		}

	}

	/**
	 * The turn of the receiver's runner among those that change to a version.
	 *
	 * @param model the model
	 * @param place its place, from 0
	 * @param places how many runners change
	 */
	record Turn(ModelName model, int place, int places) implements Runners {

		public Turn {
			Objects.requireNonNull(model, "model must not be null");
			if (place < 0 || place >= places) {
				throw new IllegalArgumentException("a place must be one of the places");
			}
		}

	}

}
