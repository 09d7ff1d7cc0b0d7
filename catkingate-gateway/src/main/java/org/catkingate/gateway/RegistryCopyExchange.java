package org.catkingate.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.registry.Moment;
import org.catkingate.decisions.registry.RegistryDelta;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.runtime.MomentSource;
import org.catkingate.runtime.registry.RegistryFollower;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.RegistryMessage;

/**
 * The exchange of copies of the registry between gateways, by which one that has lost the
 * registry receives changes and the time at which they were current. Ages are counted
 * from the moment of the request, so that they are never too low. One request at a time
 * is pending; unsolicited copies are ignored. Used by the traffic thread only, except
 * {@link #othersAgeMillis()}.
 */
final class RegistryCopyExchange {

	private static final Logger logger = LoggerFactory.getLogger(RegistryCopyExchange.class);

	/** The minimum interval between two responses on one connection. */
	private static final long MIN_RESPONSE_INTERVAL_MILLIS = 100;

	/** The maximum length of the items in one response, below that of a frame. */
	private static final long MAX_CONTENT_BYTES = 3 * 1024 * 1024;

	/** The time for which the age that another gateway has reported is considered. */
	private static final long REPORTED_AGE_VALID_MILLIS = 2000;

	private final Map<FrameConnection, Long> respondedAtMillis = new HashMap<>();

	private final RegistryFollower follower;

	private final MomentSource momentSource;

	private FrameConnection requestedFrom;

	private Moment requestedAt = Moment.NEVER;

	private int choice;

	private volatile ReportedAge reported = new ReportedAge(Moment.NEVER, Moment.NEVER);

	RegistryCopyExchange(RegistryFollower follower, MomentSource momentSource) {
		this.follower = follower;
		this.momentSource = momentSource;
	}

	/**
	 * Requests the copy of one gateway: the one that last provided a current copy, else
	 * the next one.
	 * @param gateways the connected gateways, the nearest first
	 * @param after the position of this process's copy
	 */
	void request(List<FrameConnection> gateways, RegistryPosition after) {
		if (gateways.isEmpty()) {
			return;
		}
		if (this.requestedFrom != null) {
			// the previous request was not answered
			this.choice++;
		}
		this.requestedFrom = gateways.get(Math.floorMod(this.choice, gateways.size()));
		this.requestedAt = this.momentSource.now();
		this.requestedFrom.send(new RegistryMessage.CopyRequest(after));
	}

	void respond(FrameConnection connection, RegistryMessage.CopyRequest request) {
		long now = this.momentSource.now().monotonicMillis();
		Long respondedAt = this.respondedAtMillis.get(connection);
		if (respondedAt != null && now - respondedAt < MIN_RESPONSE_INTERVAL_MILLIS) {
			return;
		}
		this.respondedAtMillis.put(connection, now);
		RegistryFollower.AgedDelta aged = this.follower.compareWith(request.after());
		List<RegistryMessage.ChangedItem> changes = aged.delta()
			.changes()
			.stream()
			.map((item) -> new RegistryMessage.ChangedItem(item.key(), item.revision(), item.content()))
			.toList();
		long bytes = changes.stream().mapToLong((item) -> item.content().length).sum();
		if (bytes > MAX_CONTENT_BYTES) {
			logger.atWarn()
				.addKeyValue("event", "registry-copy-too-long")
				.addKeyValue("bytes", bytes)
				.addKeyValue("peer", connection.peer().instance())
				.log("the copy of the registry is too long to be passed on");
			return;
		}
		connection.send(new RegistryMessage.CopyContent(aged.delta().after(), aged.delta().position(),
				Math.max(0, aged.ageMillis()), List.copyOf(aged.delta().keys()), changes));
	}

	void receive(FrameConnection connection, RegistryMessage.CopyContent copy) {
		if (connection != this.requestedFrom) {
			return;
		}
		this.requestedFrom = null;
		Moment confirmedAt = this.requestedAt.minusMillis(copy.ageMillis());
		Moment now = this.momentSource.now();
		this.reported = new ReportedAge(now, confirmedAt);
		if (confirmedAt.ageMillis(now) >= this.follower.ageMillis()) {
			this.choice++;
		}
		List<RegistryItem> changes = copy.changes()
			.stream()
			.map((item) -> new RegistryItem(item.key(), item.revision(), null, item.content()))
			.toList();
		this.follower.receiveCopy(confirmedAt,
				new RegistryDelta(copy.after(), copy.position(), Set.copyOf(copy.keys()), changes));
	}

	void connectionLost(FrameConnection connection) {
		this.respondedAtMillis.remove(connection);
	}

	/**
	 * Returns the age of the copy that another gateway has lately passed on. May be
	 * called by any thread.
	 * @return the age in milliseconds, empty if none was received lately
	 */
	OptionalLong othersAgeMillis() {
		ReportedAge current = this.reported;
		Moment now = this.momentSource.now();
		return (current.receivedAt().ageMillis(now) > REPORTED_AGE_VALID_MILLIS) ? OptionalLong.empty()
				: OptionalLong.of(current.confirmedAt().ageMillis(now));
	}

	/**
	 * The age that another gateway has reported.
	 *
	 * @param receivedAt when the report was received
	 * @param confirmedAt when the copy was up to date
	 */
	private record ReportedAge(Moment receivedAt, Moment confirmedAt) {

	}

}
