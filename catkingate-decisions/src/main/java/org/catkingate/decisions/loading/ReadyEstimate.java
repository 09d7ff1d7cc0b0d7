package org.catkingate.decisions.loading;

import java.util.OptionalLong;

/**
 * An estimate of the time until a runner serves the newest declared versions. Stateless
 * and safe for use by any thread.
 *
 * @since 0.1
 */
public final class ReadyEstimate {

	private ReadyEstimate() {
	}

	/**
	 * Estimates the time until the runner serves the newest declared versions of all
	 * models.
	 * @param state the state of loading
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time, in milliseconds; empty if it is unknown or no version is pending
	 */
	public static OptionalLong readyInMillis(LoadState state, long nowMillis) {
		long latest = -1;
		for (ModelLoad load : state.loads().values()) {
			boolean settled = load.step() == LoadStep.SETTLED;
			if (state.pending().containsKey(load.model()) || (settled && !isServed(state, load))) {
				// the pieces of the newest version have not begun to arrive
				return OptionalLong.empty();
			}
			if (settled) {
				continue;
			}
			OptionalLong ready = readyInMillis(load, nowMillis);
			if (ready.isEmpty()) {
				return OptionalLong.empty();
			}
			latest = Math.max(latest, ready.getAsLong());
		}
		return (latest >= 0) ? OptionalLong.of(latest) : OptionalLong.empty();
	}

	private static boolean isServed(LoadState state, ModelLoad load) {
		return state.lastReport()
			.map((report) -> report.models().getOrDefault(load.model(), Long.MIN_VALUE) >= load.version())
			.orElse(false);
	}

	private static OptionalLong readyInMillis(ModelLoad load, long nowMillis) {
		long loadMillis = load.pace().loadMillis();
		return switch (load.step()) {
			case ORDERED -> OptionalLong.of(Math.max(0, load.stepStartedAtMillis() + loadMillis - nowMillis));
			case WAITING -> OptionalLong.of(Math.max(0, load.dueAtMillis() - nowMillis) + loadMillis);
			case CHECKING -> (load.missingCount() == 0) ? OptionalLong.of(loadMillis) : OptionalLong.empty();
			case FETCHING -> load.pace().isKnown(nowMillis)
					? OptionalLong.of((long) (load.missingCount() * load.pace().pieceMillis()) + loadMillis)
					: OptionalLong.empty();
			case ASKING, SETTLED -> OptionalLong.empty();
		};
	}

}
