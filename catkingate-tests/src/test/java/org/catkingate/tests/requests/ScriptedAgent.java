package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RequestId;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerStatus;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.Message;
import org.catkingate.wire.RequestMessage;

/**
 * An agent of the plain service whose messages are sent one by one by a test. Safe for
 * use by any thread.
 */
final class ScriptedAgent implements ConnectionListener, AutoCloseable {

	private final LinkedBlockingQueue<RequestMessage> received = new LinkedBlockingQueue<>();

	private final String name;

	private final FrameTransport transport;

	private final InetSocketAddress address;

	private volatile FrameConnection connection;

	ScriptedAgent(String name) throws IOException {
		this.name = name;
		this.transport = FrameTransport.create(1, LocalFleet.SHARED_KEY, LocalAgent.identity(name, Role.AGENT, 7));
		this.address = this.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
	}

	AgentView view() {
		RunnerStatus status = new RunnerStatus(LocalAgent.RUNNER, LocalFleet.PLAIN_SERVICE, null, null, true);
		return LocalAgent.view(new InstanceId(this.name), this.address, status, false);
	}

	<T extends RequestMessage> T awaitMessage(Class<T> type) throws InterruptedException {
		RequestMessage message = this.received.poll(20, TimeUnit.SECONDS);
		while (message != null && !type.isInstance(message)) {
			message = this.received.poll(20, TimeUnit.SECONDS);
		}
		return type.cast(message);
	}

	boolean hasReceivedNothing() {
		return this.received.isEmpty();
	}

	void sendHead(RequestId request) {
		send(new RequestMessage.ResponseHead(request, 200, List.of()));
	}

	void sendData(RequestId request, long offset, String bytes) {
		send(new RequestMessage.ResponseData(request, offset, EngineFixtures.bytes(bytes)));
	}

	void sendEnd(RequestId request, long totalBytes) {
		send(new RequestMessage.ResponseEnd(request, totalBytes));
	}

	void sendFailure(RequestId request, RequestMessage.FailureReason reason) {
		send(new RequestMessage.ResponseFailure(request, reason, 0, "scripted by the test"));
	}

	private void send(RequestMessage message) {
		this.connection.send(message);
	}

	@Override
	public void onOpened(FrameConnection openedConnection) {
		this.connection = openedConnection;
	}

	@Override
	public void onReceived(FrameConnection source, Message message) {
		this.received.add((RequestMessage) message);
	}

	@Override
	public void onClosed(FrameConnection closedConnection, String reason) {
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
