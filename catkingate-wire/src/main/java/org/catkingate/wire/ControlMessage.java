package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.RunnerStatus;

/**
 * A message about the state of a process: heartbeat, status or configuration.
 *
 * @since 0.1
 */
public sealed interface ControlMessage extends Message {

	/**
	 * A heartbeat, sent in both directions at a fixed interval. The sequence number of an
	 * agent also serves as a nonce: requests to the agent return the newest one received.
	 *
	 * @param sequence the sequence number of the sender, which increases by one
	 * @param acknowledged the highest sequence number received from the other side; 0 for
	 * none
	 * @param loads the reported load of each runner, in the order of the last
	 * {@link AgentStatus}; empty for entries
	 */
	record Heartbeat(long sequence, long acknowledged, List<Integer> loads) implements ControlMessage {

		public Heartbeat {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The status of an agent and its runners, sent when a connection opens and whenever
	 * the status changes.
	 *
	 * @param draining whether the agent accepts no more requests
	 * @param labels the instance's labels
	 * @param runners the status of each of its runners
	 */
	record AgentStatus(boolean draining, Labels labels, List<RunnerStatus> runners) implements ControlMessage {

		public AgentStatus {
			Objects.requireNonNull(labels, "labels must not be null");
			runners = List.copyOf(runners);
		}

	}

	/**
	 * The version of the configuration in force at the sender, sent when a connection
	 * opens and whenever the version changes.
	 *
	 * @param version the version in force
	 */
	record ConfigurationAnnouncement(ConfigurationVersion version) implements ControlMessage {

		public ConfigurationAnnouncement {
			Objects.requireNonNull(version, "version must not be null");
		}

	}

	/**
	 * A request for a published configuration.
	 *
	 * @param version the requested version
	 * @param held the parts that the sender already has
	 */
	record ConfigurationRequest(ConfigurationVersion version, List<Digest> held) implements ControlMessage {

		public ConfigurationRequest {
			Objects.requireNonNull(version, "version must not be null");
			held = List.copyOf(held);
		}

	}

	/**
	 * The response to {@link ConfigurationRequest}: the head and the parts that the
	 * requester does not have.
	 *
	 * @param version the version of the content
	 * @param head the bytes of the published head
	 * @param parts the bytes of each part, compressed with gzip
	 */
	record ConfigurationContent(ConfigurationVersion version, byte[] head,
			List<byte[]> parts) implements ControlMessage {

		public ConfigurationContent {
			Objects.requireNonNull(version, "version must not be null");
			Objects.requireNonNull(head, "head must not be null");
			parts = List.copyOf(parts);
		}

	}

}
