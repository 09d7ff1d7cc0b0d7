package org.catkingate.decisions.sending;

import java.util.Collection;
import java.util.Optional;

import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;

/**
 * A runner as the target of a call. The values are those at the time of the call of each
 * method.
 *
 * @since 0.1
 */
public interface SendTarget {

	/**
	 * Returns the service that the runner belongs to.
	 * @return the service, never null
	 */
	ServiceName service();

	/**
	 * Returns whether the runner leaves, by its registration or its own statement.
	 * @return whether it gets no new requests for as long as it runs
	 */
	boolean isLeaving();

	/**
	 * Returns whether the runner has asked for a pause.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the pause is not over
	 */
	boolean isPaused(long nowMillis);

	/**
	 * Returns the region of the runner.
	 * @return the region, empty if it is unknown
	 */
	Optional<RegionName> region();

	/**
	 * Returns whether operators have evacuated the data centre of the runner.
	 * @return whether nothing may be sent there
	 */
	boolean isEvacuated();

	/**
	 * Returns whether the runner serves models.
	 * @param models the models
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether it serves a version of each of them
	 */
	boolean serves(Collection<ModelName> models, long nowMillis);

	/**
	 * Returns whether the memory of the runner has room for a call.
	 * @param need the memory that the call needs
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the call fits beside the requests that were sent there
	 */
	boolean hasMemory(MemoryNeed need, long nowMillis);

	/**
	 * Returns whether the requests that the runner takes from all gateways together leave
	 * room for one of this gateway.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the runner has stated no limit, or there is a permit
	 */
	boolean hasPermit(long nowMillis);

	/**
	 * Returns whether this gateway may send a request to the runner although it may be
	 * cold.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the runner is warm, or this gateway's part of the requests that a
	 * cold one may get is not used up
	 */
	boolean hasColdRoom(long nowMillis);

}
