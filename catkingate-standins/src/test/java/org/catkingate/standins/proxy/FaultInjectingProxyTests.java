package org.catkingate.standins.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link FaultInjectingProxy}.
 */
class FaultInjectingProxyTests {

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private static final int SILENCE_TIMEOUT_MILLIS = 200;

	private ServerSocket echoServer;

	private FaultInjectingProxy proxy;

	@BeforeEach
	void start() throws IOException {
		this.echoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::serveConnections);
		thread.setDaemon(true);
		thread.start();
		this.proxy = FaultInjectingProxy.start("--target", "127.0.0.1:" + this.echoServer.getLocalPort());
	}

	@AfterEach
	void close() throws IOException {
		this.proxy.close();
		this.echoServer.close();
	}

	private void serveConnections() {
		try {
			while (true) {
				Socket socket = this.echoServer.accept();
				Thread thread = new Thread(() -> echo(socket));
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// the echo server was closed at the end of the test
		}
	}

	private static void echo(Socket socket) {
		try (socket) {
			socket.getInputStream().transferTo(socket.getOutputStream());
		}
		catch (IOException ex) {
			// the proxy has closed or reset the connection
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(this.proxy.address().getAddress(), this.proxy.address().getPort());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

	private static int roundTrip(Socket socket, int value) throws IOException {
		socket.getOutputStream().write(value);
		return socket.getInputStream().read();
	}

	@Test
	void forwardsBytesAndEndOfStream() throws IOException {
		try (Socket socket = connect()) {
			assertThat(roundTrip(socket, 7)).isEqualTo(7);
			socket.shutdownOutput();
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Test
	void silenceDiscardsBytesOfOpenConnectionsOnly() throws IOException {
		try (Socket openSocket = connect()) {
			roundTrip(openSocket, 1);
			this.proxy.silenceConnections();
			openSocket.setSoTimeout(SILENCE_TIMEOUT_MILLIS);
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> roundTrip(openSocket, 2));
			try (Socket newSocket = connect()) {
				assertThat(roundTrip(newSocket, 3)).isEqualTo(3);
			}
		}
	}

	@Test
	void heldBytesArriveAfterTheHoldEnds() throws IOException {
		this.proxy.configure("--hold", "true");
		try (Socket socket = connect()) {
			socket.getOutputStream().write(4);
			socket.setSoTimeout(SILENCE_TIMEOUT_MILLIS);
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
			this.proxy.configure("--hold", "false");
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			assertThat(socket.getInputStream().read()).isEqualTo(4);
		}
	}

	@Test
	void resetClosesOpenConnections() throws IOException {
		try (Socket socket = connect()) {
			roundTrip(socket, 1);
			this.proxy.resetConnections();
			assertThatExceptionOfType(SocketException.class).isThrownBy(() -> socket.getInputStream().read());
		}
	}

	@Test
	void delayIsAddedInEachDirection() throws IOException {
		this.proxy.configure("--delay-ms", "50");
		try (Socket socket = connect()) {
			long start = System.nanoTime();
			roundTrip(socket, 1);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isGreaterThanOrEqualTo(100);
		}
	}

	@Test
	void corruptionChangesForwardedBytes() throws IOException {
		this.proxy.configure("--corrupt-percent", "100");
		try (Socket socket = connect()) {
			byte[] zeros = new byte[64];
			socket.getOutputStream().write(zeros);
			byte[] received = socket.getInputStream().readNBytes(zeros.length);
			assertThat(received).isNotEqualTo(zeros);
		}
	}

}
