package org.catkingate.tests.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.tests.harness.FreePorts;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.RunnerMessage;
import org.catkingate.wire.SharedKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the messages that a gateway sends to other gateways.
 */
class GatewayPeersTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static FrameTransport createTransport(String name) throws Exception {
		return FrameTransport.create(1, SharedKey.of("only-for-these-tests"), new HandshakeMessage.PeerIdentity(
				new InstanceId(name), Role.ENTRY, 1, new DataCentreName("a"), new RegionName("r")));
	}

	// Guards against requests that start on an older version because a gateway was
	// suspended or disconnected when the newer version was declared.
	@Test
	void theAgeOfADeclaredVersionIsSentRepeatedlyOverAnOpenConnection() throws Exception {
		InetSocketAddress peerAddress = FreePorts.next();
		AgeRecorder recorder = new AgeRecorder();
		try (TestGateway gateway = TestGateway.start(
				VersionChangeTests.createRegistryThatDeclaresVersion2(FreePorts.next(), () -> true), peerAddress,
				(client, address) -> null, 8000); FrameTransport peer = createTransport("gateway-2")) {
			assertThat(gateway).isNotNull();
			peer.connect(peerAddress, recorder, () -> {
			});
			Awaitility.await().atMost(TIMEOUT).until(() -> recorder.agesMillis.size() >= 3);
			assertThat(recorder.agesMillis).isSorted().doesNotHaveDuplicates();
		}
	}

	/**
	 * A listener that records the ages of version 2 that a gateway sends.
	 */
	private static final class AgeRecorder implements ConnectionListener {

		private final List<Long> agesMillis = new CopyOnWriteArrayList<>();

		@Override
		public void onOpened(FrameConnection connection) {
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			if (message instanceof RunnerMessage.VersionDeclaration declared && declared.version() == 2
					&& declared.isAgeKnown()) {
				this.agesMillis.add(declared.ageMillis());
			}
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
		}

	}

}
