package org.catkingate.decisions.routing;

/**
 * What this process itself has seen of a runner. Immutable.
 *
 * @param inFlight its own requests that the runner has not finished
 * @param penalty a surcharge in requests for failures seen lately, 0 for none
 * @param responseStartMillis how long the runner has taken lately until an answer began,
 * in milliseconds, 0 if unknown
 * @since 0.1
 */
public record OwnLoad(int inFlight, double penalty, double responseStartMillis) {

	private static final OwnLoad NONE = new OwnLoad(0, 0, 0);

	/**
	 * Returns the load of a runner that this process has not used.
	 * @return no load, never null
	 */
	public static OwnLoad none() {
		return NONE;
	}

}
