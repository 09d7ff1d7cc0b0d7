package org.catkingate.runtime.fleet;

import java.util.List;

import org.catkingate.model.InstanceRecord;

/**
 * Is told what the platform answers about its list of instances. Called by the control
 * thread and must not block.
 *
 * @since 0.1
 */
public interface ListListener {

	/**
	 * The platform has given its list.
	 * @param askedAtMillis when it was asked, in milliseconds of the monotonic clock
	 * @param instances the list
	 */
	void listRead(long askedAtMillis, List<InstanceRecord> instances);

	/**
	 * The platform has said that its list is as it was read last.
	 * @param askedAtMillis when it was asked, in milliseconds of the monotonic clock
	 */
	void listConfirmed(long askedAtMillis);

}
