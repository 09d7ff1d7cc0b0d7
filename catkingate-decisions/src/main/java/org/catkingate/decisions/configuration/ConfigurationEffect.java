package org.catkingate.decisions.configuration;

import java.util.List;

import org.catkingate.decisions.Effect;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * The effects that {@link ConfigurationReducer} requests.
 *
 * @since 0.1
 */
public sealed interface ConfigurationEffect extends Effect {

	/**
	 * An instruction to read the head from the configuration service.
	 *
	 * @param after the index last seen; 0 for none
	 * @param waitMillis how long to wait for a change, in milliseconds
	 */
	record ReadHead(long after, long waitMillis) implements ConfigurationEffect {

	}

	/**
	 * An instruction to read a part from the configuration service.
	 *
	 * @param part the digest of the part
	 */
	record ReadPart(Digest part) implements ConfigurationEffect {

	}

	/**
	 * An instruction to request a version from a peer.
	 *
	 * @param connection the number of the connection to the peer
	 * @param version the requested version
	 * @param held the digests of the parts that this process already holds
	 */
	record PullVersion(long connection, ConfigurationVersion version,
			List<Digest> held) implements ConfigurationEffect {

	}

	/**
	 * An instruction to send a version to a peer that has requested it.
	 *
	 * @param connection the number of the connection to the peer
	 * @param bundle the head and the parts of the version
	 * @param held the digests of the parts that the peer already holds
	 */
	record SendVersion(long connection, ConfigurationBundle bundle, List<Digest> held) implements ConfigurationEffect {

	}

	/**
	 * An instruction to put a version into force and announce it to all peers.
	 *
	 * @param configuration the configuration
	 */
	record Adopted(PublishedConfiguration configuration) implements ConfigurationEffect {

	}

	/**
	 * An instruction to report a publication that is not adopted because it is invalid.
	 *
	 * @param rejection the publication and its problems
	 */
	record Rejected(Rejection rejection) implements ConfigurationEffect {

	}

	/**
	 * An instruction to report that this process has finished querying its peers. It may
	 * serve once a version is in force.
	 *
	 * @param peers the number of peers that have responded
	 */
	record PeersQueried(int peers) implements ConfigurationEffect {

	}

}
