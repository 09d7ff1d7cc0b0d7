package org.catkingate.runtime.registry;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.runtime.platform.PlatformException;

/**
 * Read access to a registry. Every call completes, either with a result or exceptionally
 * with a {@link PlatformException} as the cause. Safe for use by any thread.
 *
 * @since 0.1
 */
public interface Registry {

	/**
	 * Reads a page of items in the order of their keys. The page is current at some
	 * moment after the call; several pages together are not a consistent snapshot.
	 * @param afterKey the key after which the page starts, empty for the first page
	 * @return one page
	 */
	CompletableFuture<RegistryPage> read(String afterKey);

	/**
	 * Waits for changes.
	 * @param afterRevision the revision after which changes are returned
	 * @param waitMillis how long to wait for a first change, in milliseconds
	 * @return the changes in order, empty if there were none in this time
	 */
	CompletableFuture<RegistryPage> watch(long afterRevision, long waitMillis);

	/**
	 * Waits for changes of declared versions. If the registry cannot watch these
	 * separately, waits for any changes, as this default implementation does.
	 * @param afterRevision the revision after which changes are returned
	 * @param waitMillis how long to wait for a first change, in milliseconds
	 * @return the changes in order, empty if there were none in this time
	 */
	default CompletableFuture<RegistryPage> watchVersions(long afterRevision, long waitMillis) {
		return watch(afterRevision, waitMillis);
	}

	/**
	 * Decodes the content of an item that another process has passed on.
	 * @param key the key of the item
	 * @param content the content as published
	 * @return the value, {@link RegistryValue.Unreadable} if the content is malformed
	 */
	RegistryValue decode(String key, byte[] content);

}
