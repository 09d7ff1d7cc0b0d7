package org.catkingate.decisions.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;

/**
 * What happens to configuration. Byte arrays must not be changed.
 *
 * @since 0.1
 */
public sealed interface ConfigurationEvent extends Event {

	/**
	 * The service has answered with a head, which may be old, cut or malformed.
	 *
	 * @param index the service's index
	 * @param head the bytes
	 */
	record HeadRead(long index, byte[] head) implements ConfigurationEvent {

	}

	/**
	 * The service says that the head has not changed.
	 */
	record HeadUnchanged() implements ConfigurationEvent {

	}

	/**
	 * The service has not given a head.
	 *
	 * @param reason why, for the dump
	 */
	record HeadFailed(String reason) implements ConfigurationEvent {

	}

	/**
	 * The service has answered with a part, which may be cut.
	 *
	 * @param part the digest that was asked for
	 * @param bytes the bytes
	 */
	record PartRead(Digest part, byte[] bytes) implements ConfigurationEvent {

	}

	/**
	 * The service has not given a part.
	 *
	 * @param part the digest that was asked for
	 * @param reason why, for the dump
	 */
	record PartFailed(Digest part, String reason) implements ConfigurationEvent {

	}

	/**
	 * A peer has told which version is in force there.
	 *
	 * @param connection the link to the peer
	 * @param distance 0 for the own data centre, 1 for the own region, 2 beyond
	 * @param version the version; the lowest for none
	 */
	record Offered(long connection, int distance, ConfigurationVersion version) implements ConfigurationEvent {

		public Offered {
			Objects.requireNonNull(version, "version must not be null");
		}

	}

	/**
	 * A link has ended.
	 *
	 * @param connection the link
	 */
	record PeerLost(long connection) implements ConfigurationEvent {

	}

	/**
	 * A peer asks for a version.
	 *
	 * @param connection the link to the peer
	 * @param version the version asked for
	 * @param held the parts that the peer has
	 */
	record Asked(long connection, ConfigurationVersion version, List<Digest> held) implements ConfigurationEvent {

		public Asked {
			held = List.copyOf(held);
		}

	}

	/**
	 * A peer has sent a version, or some of its parts.
	 *
	 * @param connection the link to the peer
	 * @param head the bytes of the head
	 * @param parts the bytes of the parts
	 */
	record ContentArrived(long connection, byte[] head, List<byte[]> parts) implements ConfigurationEvent {

		public ContentArrived {
			parts = List.copyOf(parts);
		}

	}

	/**
	 * How often this process is to read the service.
	 *
	 * @param pace how often
	 * @param fleetSize how many processes the platform's list has
	 */
	record ReadPaceChanged(ReadPace pace, int fleetSize) implements ConfigurationEvent {

	}

	/**
	 * Whom a new process has to ask.
	 *
	 * @param complete whether a link to every contact is open
	 * @param connections the links to them
	 */
	record ContactsChanged(boolean complete, Set<Long> connections) implements ConfigurationEvent {

		public ContactsChanged {
			connections = Set.copyOf(connections);
		}

	}

	/**
	 * Time has passed.
	 */
	record Ticked() implements ConfigurationEvent {

	}

}
