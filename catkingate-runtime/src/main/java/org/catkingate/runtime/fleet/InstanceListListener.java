package org.catkingate.runtime.fleet;

import java.util.List;

import org.catkingate.model.InstanceRecord;

/**
 * A listener to the platform's responses to requests for its list of instances. Called by
 * the control thread; must not block.
 *
 * @since 0.1
 */
public interface InstanceListListener {

	/**
	 * Called when the platform has returned its list.
	 * @param requestedAtMillis the time of the request, in milliseconds of the monotonic
	 * clock
	 * @param instances the list
	 */
	void listRead(long requestedAtMillis, List<InstanceRecord> instances);

	/**
	 * Called when the platform has confirmed that its list has not changed since the
	 * previous read.
	 * @param requestedAtMillis the time of the request, in milliseconds of the monotonic
	 * clock
	 */
	void listConfirmed(long requestedAtMillis);

}
