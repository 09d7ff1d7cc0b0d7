package org.catkingate.decisions.configuration;

import java.util.List;

import org.catkingate.decisions.Effect;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * What configuration wants done.
 *
 * @since 0.1
 */
public sealed interface ConfigurationEffect extends Effect {

	/**
	 * Read the head from the service.
	 *
	 * @param after the index seen last; 0 for none
	 * @param waitMillis how long to wait for a change, in milliseconds
	 */
	record ReadHead(long after, long waitMillis) implements ConfigurationEffect {

	}

	/**
	 * Read a part from the service.
	 *
	 * @param part its digest
	 */
	record ReadPart(Digest part) implements ConfigurationEffect {

	}

	/**
	 * Ask a peer for a version.
	 *
	 * @param link the link to the peer
	 * @param version the version
	 * @param held the parts that this process has
	 */
	record Pull(long link, ConfigurationVersion version, List<Digest> held) implements ConfigurationEffect {

	}

	/**
	 * Send a version to a peer that has asked for it.
	 *
	 * @param link the link to the peer
	 * @param bundle the version
	 * @param held the parts that the peer has
	 */
	record SendContent(long link, ConfigurationBundle bundle, List<Digest> held) implements ConfigurationEffect {

	}

	/**
	 * A version is in force from now on; tell all peers.
	 *
	 * @param configuration the configuration
	 */
	record Adopted(PublishedConfiguration configuration) implements ConfigurationEffect {

	}

	/**
	 * A publication is not adopted since it has faults.
	 *
	 * @param rejection which, and why
	 */
	record Rejected(Rejection rejection) implements ConfigurationEffect {

	}

	/**
	 * This process has asked its peers, and may serve once a version is in force.
	 *
	 * @param peers how many have answered
	 */
	record PeersAsked(int peers) implements ConfigurationEffect {

	}

}
