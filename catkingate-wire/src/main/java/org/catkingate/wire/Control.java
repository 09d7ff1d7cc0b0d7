package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.RunnerStatus;

/**
 * Messages about the state of a process: heartbeats, status and configuration.
 *
 * @since 0.1
 */
public sealed interface Control extends Message {

	/**
	 * Sent at a steady interval in both directions. An agent's sequence is the nonce that
	 * requests carry back.
	 *
	 * @param sequence the sender's count, rising by one
	 * @param acknowledged the highest sequence received from the other side, 0 for none
	 * @param loads the reported load of each runner, in the order of the last
	 * {@link AgentStatus}; empty for entries
	 */
	record Heartbeat(long sequence, long acknowledged, List<Integer> loads) implements Control {

		public Heartbeat {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * What an agent serves; sent when a connection opens and whenever it changes.
	 *
	 * @param draining whether the agent takes no more work
	 * @param labels the instance's labels
	 * @param runners its runners
	 */
	record AgentStatus(boolean draining, Labels labels, List<RunnerStatus> runners) implements Control {

		public AgentStatus {
			Objects.requireNonNull(labels, "labels must not be null");
			runners = List.copyOf(runners);
		}

	}

	/**
	 * The configuration in force at the sender; sent when a connection opens and whenever
	 * it changes.
	 *
	 * @param version the version in force
	 */
	record ConfigurationAnnouncement(ConfigurationVersion version) implements Control {

		public ConfigurationAnnouncement {
			Objects.requireNonNull(version, "version must not be null");
		}

	}

	/**
	 * Asks for a published configuration.
	 *
	 * @param version the version asked for
	 * @param held the parts that the sender has already
	 */
	record ConfigurationPull(ConfigurationVersion version, List<Digest> held) implements Control {

		public ConfigurationPull {
			Objects.requireNonNull(version, "version must not be null");
			held = List.copyOf(held);
		}

	}

	/**
	 * Answers {@link ConfigurationPull}: the head and the parts that the asker lacks.
	 *
	 * @param version the version that follows
	 * @param head the bytes of the published head
	 * @param parts the bytes of each part, compressed with gzip
	 */
	record ConfigurationContent(ConfigurationVersion version, byte[] head, List<byte[]> parts) implements Control {

		public ConfigurationContent {
			Objects.requireNonNull(version, "version must not be null");
			Objects.requireNonNull(head, "head must not be null");
			parts = List.copyOf(parts);
		}

	}

}
