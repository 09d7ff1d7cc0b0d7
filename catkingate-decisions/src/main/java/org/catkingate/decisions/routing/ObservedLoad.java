package org.catkingate.decisions.routing;

/**
 * The load of a runner as observed by this process alone. Immutable.
 *
 * @param inFlight the number of requests of this process that the runner has not
 * completed
 * @param penalty a penalty for recently observed failures, counted in requests; 0 for
 * none
 * @param responseStartMillis the recent mean time until a response started, in
 * milliseconds; 0 if unknown
 * @since 0.1
 */
public record ObservedLoad(int inFlight, double penalty, double responseStartMillis) {

	private static final ObservedLoad NONE = new ObservedLoad(0, 0, 0);

	/**
	 * Returns the load of a runner that this process has not used.
	 * @return an empty load, never null
	 */
	public static ObservedLoad none() {
		return NONE;
	}

}
