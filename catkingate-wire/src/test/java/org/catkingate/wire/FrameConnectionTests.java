package org.catkingate.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.RequestId;
import org.catkingate.model.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FrameConnection} and {@link FrameTransport}.
 */
class FrameConnectionTests {

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(20);

	private final RecordingListener serverListener = new RecordingListener();

	private final RecordingListener clientListener = new RecordingListener();

	private FrameTransport server;

	private InetSocketAddress address;

	@BeforeEach
	void listen() throws IOException {
		this.server = transport("server", "a key of some length");
		this.address = this.server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				this.serverListener);
	}

	@AfterEach
	void close() {
		this.server.close();
	}

	private static FrameTransport transport(String name, String key) throws IOException {
		HandshakeMessage.PeerIdentity identity = new HandshakeMessage.PeerIdentity(new InstanceId(name), Role.AGENT, 1,
				new DataCentreName("dc"), new RegionName("region"));
		return FrameTransport.create(1, SharedKey.of(key), identity);
	}

	private static int checksum(byte[] bytes) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes);
		return (int) checksum.getValue();
	}

	@Nested
	class PeersWithTheSameSharedKey {

		@Test
		void exchangeMessagesInOrder() throws Exception {
			try (FrameTransport client = transport("client", "a key of some length")) {
				client.connect(FrameConnectionTests.this.address, FrameConnectionTests.this.clientListener, () -> {
				});
				FrameConnection connection = FrameConnectionTests.this.clientListener.opened.get(20, TimeUnit.SECONDS);
				for (int i = 0; i < 1000; i++) {
					connection.send(new RequestMessage.ResponseData(new RequestId(1, 2), i, new byte[1000]));
				}
				for (int i = 0; i < 1000; i++) {
					Message message = FrameConnectionTests.this.serverListener.messages.poll(20, TimeUnit.SECONDS);
					assertThat(((RequestMessage.ResponseData) message).offset()).isEqualTo(i);
				}
				assertThat(connection.peer().instance()).isEqualTo(new InstanceId("server"));
			}
		}

	}

	@Nested
	class InvalidPeersAreDisconnected {

		@Test
		void withADifferentSharedKey() throws Exception {
			try (FrameTransport client = transport("client", "another key altogether")) {
				client.connect(FrameConnectionTests.this.address, FrameConnectionTests.this.clientListener, () -> {
				});
				assertThat(FrameConnectionTests.this.clientListener.closed.get(20, TimeUnit.SECONDS)).isNotNull();
				assertThat(FrameConnectionTests.this.serverListener.opened).isNotDone();
			}
		}

		@Test
		void thatAnnounceTooLongFrames() throws Exception {
			try (Socket socket = new Socket(FrameConnectionTests.this.address.getAddress(),
					FrameConnectionTests.this.address.getPort())) {
				socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(1 << 30).array());
				assertThat(FrameConnectionTests.this.serverListener.closed.get(20, TimeUnit.SECONDS))
					.contains("a frame of 1073741824 bytes where at most 4096 are allowed");
			}
		}

		@Test
		void thatSendOtherMessagesBeforeTheirProof() throws Exception {
			try (Socket socket = new Socket(FrameConnectionTests.this.address.getAddress(),
					FrameConnectionTests.this.address.getPort())) {
				byte[] message = MessageCodec.encode(new ControlMessage.Heartbeat(1, 0, List.of()));
				socket.getOutputStream()
					.write(ByteBuffer.allocate(8).putInt(message.length).putInt(checksum(message)).array());
				socket.getOutputStream().write(message);
				assertThat(FrameConnectionTests.this.serverListener.closed.get(20, TimeUnit.SECONDS))
					.contains("set the same [peers] shared-key");
			}
		}

		@Test
		void thatSendFramesWithAWrongChecksum() throws Exception {
			try (Socket socket = new Socket(FrameConnectionTests.this.address.getAddress(),
					FrameConnectionTests.this.address.getPort())) {
				byte[] message = MessageCodec.encode(new ControlMessage.Heartbeat(1, 0, List.of()));
				int checksum = checksum(message);
				message[message.length - 1] ^= 1;
				socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(message.length).putInt(checksum).array());
				socket.getOutputStream().write(message);
				assertThat(FrameConnectionTests.this.serverListener.closed.get(20, TimeUnit.SECONDS))
					.contains("a frame whose checksum does not match");
			}
		}

		@Test
		void thatDoNotCompleteTheHandshakeInTime() throws Exception {
			try (Socket socket = new Socket(FrameConnectionTests.this.address.getAddress(),
					FrameConnectionTests.this.address.getPort())) {
				Awaitility.await().atMost(CLOSE_TIMEOUT).until(FrameConnectionTests.this.serverListener.closed::isDone);
				assertThat(FrameConnectionTests.this.serverListener.closed.get()).contains("no handshake");
				assertThat(socket.isConnected()).isTrue();
			}
		}

	}

	private static final class RecordingListener implements ConnectionListener {

		private final CompletableFuture<FrameConnection> opened = new CompletableFuture<>();

		private final CompletableFuture<String> closed = new CompletableFuture<>();

		private final LinkedBlockingQueue<Message> messages = new LinkedBlockingQueue<>();

		@Override
		public void onOpened(FrameConnection connection) {
			this.opened.complete(connection);
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			this.messages.add(message);
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
			this.closed.complete(reason);
		}

	}

}
