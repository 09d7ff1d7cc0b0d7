package org.catkingate.model.published;

import java.util.Objects;

import org.catkingate.model.Digest;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * A version of a model or adapter, with the service and the instances that hold it.
 * Immutable and safe for use by any thread.
 *
 * @param id the version
 * @param service the service whose runners load it
 * @param manifestDigest the digest of the bytes of its manifest
 * @param selector the labels of the instances that hold it
 * @param withdrawn whether it must no longer be distributed or served
 * @since 0.1
 */
public record WeightsVersion(VersionId id, ServiceName service, Digest manifestDigest, Selector selector,
		boolean withdrawn) {

	public WeightsVersion {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(manifestDigest, "manifestDigest must not be null");
		Objects.requireNonNull(selector, "selector must not be null");
	}

}
