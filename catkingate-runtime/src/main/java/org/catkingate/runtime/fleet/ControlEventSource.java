package org.catkingate.runtime.fleet;

import java.io.IOException;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.model.InstanceId;
import org.catkingate.runtime.peers.ControlListener;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.HandshakeMessage;

/**
 * Converts what happens on connections to other processes into events for the control
 * thread. Safe for use by any thread.
 */
final class ControlEventSource implements ControlListener {

	private static final Logger logger = LoggerFactory.getLogger(ControlEventSource.class);

	private static final int SAME_DATA_CENTRE = 0;

	private static final int SAME_REGION = 1;

	private static final int OTHER_REGION = 2;

	private final ProcessIdentity self;

	private final Consumer<Event> eventSink;

	ControlEventSource(ProcessIdentity self, Consumer<Event> eventSink) {
		this.self = self;
		this.eventSink = eventSink;
	}

	@Override
	public void onOpened(long connectionNumber, boolean dialled, HandshakeMessage.PeerIdentity peer) {
		this.eventSink.accept(new MembershipEvent.ConnectionOpened(connectionNumber, dialled, new MembershipEvent.Peer(
				peer.instance(), peer.role(), peer.incarnation(), peer.dataCentre(), peer.region())));
	}

	@Override
	public void onClosed(long connectionNumber) {
		this.eventSink.accept(new MembershipEvent.ConnectionClosed(connectionNumber));
	}

	@Override
	public void onDialFailed(InstanceId instance) {
		this.eventSink.accept(new MembershipEvent.DialFailed(instance));
	}

	@Override
	public void onReceived(long connectionNumber, HandshakeMessage.PeerIdentity peer, ControlMessage message) {
		if (message instanceof ControlMessage.AgentStatus status) {
			this.eventSink.accept(new MembershipEvent.StatusAnnounced(connectionNumber, status.draining(),
					status.labels(), status.runners()));
		}
		else if (message instanceof ControlMessage.ConfigurationAnnouncement announcement) {
			this.eventSink.accept(
					new ConfigurationEvent.VersionOffered(connectionNumber, distance(peer), announcement.version()));
		}
		else if (message instanceof ControlMessage.ConfigurationRequest request) {
			this.eventSink
				.accept(new ConfigurationEvent.VersionRequested(connectionNumber, request.version(), request.held()));
		}
		else if (message instanceof ControlMessage.ConfigurationContent content) {
			receiveContent(connectionNumber, peer, content);
		}
	}

	private int distance(HandshakeMessage.PeerIdentity peer) {
		if (!peer.region().equals(this.self.region())) {
			return OTHER_REGION;
		}
		return peer.dataCentre().equals(this.self.dataCentre()) ? SAME_DATA_CENTRE : SAME_REGION;
	}

	private void receiveContent(long connectionNumber, HandshakeMessage.PeerIdentity peer,
			ControlMessage.ConfigurationContent content) {
		try {
			this.eventSink.accept(new ConfigurationEvent.VersionReceived(connectionNumber, content.head(),
					ConfigurationContentCodec.decode(content)));
		}
		catch (IOException ex) {
			logger.atWarn()
				.addKeyValue("event", "configuration-content-malformed")
				.addKeyValue("peer", peer.instance().value())
				.addKeyValue("reason", ex.getMessage())
				.log("failed to decode configuration from a peer; requesting it from another one");
		}
	}

}
