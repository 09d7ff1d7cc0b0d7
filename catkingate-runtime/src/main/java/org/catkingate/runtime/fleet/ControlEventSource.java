package org.catkingate.runtime.fleet;

import java.io.IOException;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.decisions.membership.Self;
import org.catkingate.model.InstanceId;
import org.catkingate.runtime.peers.ControlListener;
import org.catkingate.wire.Control;
import org.catkingate.wire.Handshake;

/**
 * Turns what happens on links into events. Safe for use by any thread.
 */
final class ControlEventSource implements ControlListener {

	private static final Logger logger = LoggerFactory.getLogger(ControlEventSource.class);

	private static final int SAME_DATA_CENTRE = 0;

	private static final int SAME_REGION = 1;

	private static final int OTHER_REGION = 2;

	private final Self self;

	private final Consumer<Event> events;

	ControlEventSource(Self self, Consumer<Event> events) {
		this.self = self;
		this.events = events;
	}

	@Override
	public void opened(long link, boolean dialled, Handshake.PeerIdentity peer) {
		this.events.accept(new MembershipEvent.LinkOpened(link, dialled, new MembershipEvent.Peer(peer.instance(),
				peer.role(), peer.incarnation(), peer.dataCentre(), peer.region())));
	}

	@Override
	public void closed(long link) {
		this.events.accept(new MembershipEvent.LinkClosed(link));
	}

	@Override
	public void dialFailed(InstanceId instance) {
		this.events.accept(new MembershipEvent.DialFailed(instance));
	}

	@Override
	public void received(long link, Handshake.PeerIdentity peer, Control message) {
		if (message instanceof Control.AgentStatus status) {
			this.events.accept(
					new MembershipEvent.StatusAnnounced(link, status.draining(), status.labels(), status.runners()));
		}
		else if (message instanceof Control.ConfigurationAnnouncement announcement) {
			this.events.accept(new ConfigurationEvent.Offered(link, distance(peer), announcement.version()));
		}
		else if (message instanceof Control.ConfigurationPull pull) {
			this.events.accept(new ConfigurationEvent.Asked(link, pull.version(), pull.held()));
		}
		else if (message instanceof Control.ConfigurationContent content) {
			receive(link, peer, content);
		}
	}

	private int distance(Handshake.PeerIdentity peer) {
		if (!peer.region().equals(this.self.region())) {
			return OTHER_REGION;
		}
		return peer.dataCentre().equals(this.self.dataCentre()) ? SAME_DATA_CENTRE : SAME_REGION;
	}

	private void receive(long link, Handshake.PeerIdentity peer, Control.ConfigurationContent content) {
		try {
			this.events.accept(new ConfigurationEvent.ContentArrived(link, content.head(),
					ConfigurationContentCodec.decode(content)));
		}
		catch (IOException ex) {
			logger.atWarn()
				.addKeyValue("event", "configuration-content-malformed")
				.addKeyValue("peer", peer.instance().value())
				.addKeyValue("reason", ex.getMessage())
				.log("configuration from a peer could not be read; another is asked");
		}
	}

}
