package org.catkingate.runtime.registry;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.registry.RegistryItems;
import org.catkingate.runtime.platform.PlatformException;

/**
 * A registry that is only read. Every call ends, with an answer or with a
 * {@link PlatformException} as the cause. Safe for use by any thread.
 *
 * @since 0.1
 */
public interface Registry {

	/**
	 * Reads items in the order of their keys. The answer is the newest at some moment
	 * after the call; several pages together are no snapshot.
	 * @param afterKey the key after which to begin, empty for the first page
	 * @return one page
	 */
	CompletableFuture<RegistryItems> read(String afterKey);

	/**
	 * Waits for changes.
	 * @param afterRevision the revision that is known
	 * @param waitMillis how long to wait for a first change, in milliseconds
	 * @return the changes in order, none if there was none in this time
	 */
	CompletableFuture<RegistryItems> watch(long afterRevision, long waitMillis);

	/**
	 * Waits for changes of declared versions; where these cannot be watched by
	 * themselves, for any.
	 * @param afterRevision the revision that is known
	 * @param waitMillis how long to wait for a first change, in milliseconds
	 * @return the changes in order, none if there was none in this time
	 */
	default CompletableFuture<RegistryItems> watchVersions(long afterRevision, long waitMillis) {
		return watch(afterRevision, waitMillis);
	}

}
