package org.catkingate.decisions.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;

/**
 * The events that {@link ConfigurationReducer} processes. Byte arrays must not be
 * modified.
 *
 * @since 0.1
 */
public sealed interface ConfigurationEvent extends Event {

	/**
	 * The configuration service has responded with a head, which may be outdated,
	 * truncated or malformed.
	 *
	 * @param index the index of the head in the configuration service
	 * @param head the bytes
	 */
	record HeadRead(long index, byte[] head) implements ConfigurationEvent {

	}

	/**
	 * The configuration service has responded that the head has not changed.
	 */
	record HeadUnchanged() implements ConfigurationEvent {

	}

	/**
	 * The head could not be read from the configuration service.
	 *
	 * @param reason the cause, for the log
	 */
	record HeadFailed(String reason) implements ConfigurationEvent {

	}

	/**
	 * The configuration service has responded with a part, which may be truncated.
	 *
	 * @param part the digest that was requested
	 * @param bytes the bytes
	 */
	record PartRead(Digest part, byte[] bytes) implements ConfigurationEvent {

	}

	/**
	 * A part could not be read from the configuration service.
	 *
	 * @param part the digest that was requested
	 * @param reason the cause, for the log and for the dump of the process's state
	 */
	record PartFailed(Digest part, String reason) implements ConfigurationEvent {

	}

	/**
	 * A peer has announced the version in force there.
	 *
	 * @param connection the number of the connection to the peer
	 * @param distance 0 within the same data centre, 1 within the same region, 2 across
	 * regions
	 * @param version the version; the lowest if none is in force
	 */
	record VersionOffered(long connection, int distance, ConfigurationVersion version) implements ConfigurationEvent {

		public VersionOffered {
			Objects.requireNonNull(version, "version must not be null");
		}

	}

	/**
	 * A connection to a peer is closed.
	 *
	 * @param connection the number of the connection
	 */
	record PeerDisconnected(long connection) implements ConfigurationEvent {

	}

	/**
	 * A peer requests a version.
	 *
	 * @param connection the number of the connection to the peer
	 * @param version the requested version
	 * @param held the digests of the parts that the peer already holds
	 */
	record VersionRequested(long connection, ConfigurationVersion version,
			List<Digest> held) implements ConfigurationEvent {

		public VersionRequested {
			held = List.copyOf(held);
		}

	}

	/**
	 * A peer has sent a version or some of its parts.
	 *
	 * @param connection the number of the connection to the peer
	 * @param head the bytes of the head
	 * @param parts the bytes of the parts
	 */
	record VersionReceived(long connection, byte[] head, List<byte[]> parts) implements ConfigurationEvent {

		public VersionReceived {
			parts = List.copyOf(parts);
		}

	}

	/**
	 * The pace at which this process reads the configuration service has changed.
	 *
	 * @param pace the pace
	 * @param fleetSize the number of processes on the instance list of the platform
	 */
	record ReadPaceChanged(ReadPace pace, int fleetSize) implements ConfigurationEvent {

	}

	/**
	 * The peers that a new process queries have changed.
	 *
	 * @param complete whether a connection to every contact is open
	 * @param connections the numbers of the connections to the contacts
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
