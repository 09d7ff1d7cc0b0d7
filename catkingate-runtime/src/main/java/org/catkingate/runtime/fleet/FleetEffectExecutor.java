package org.catkingate.runtime.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.configuration.ConfigurationEffect;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.configuration.Rejection;
import org.catkingate.decisions.membership.MembershipEffect;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.runtime.peers.PeerManager;
import org.catkingate.runtime.platform.PlatformClient;
import org.catkingate.wire.ControlMessage;

/**
 * Executes effects of the control loop; those that change the state of {@link Fleet} are
 * passed on to it. For use by the control thread only, which it never blocks.
 */
final class FleetEffectExecutor implements Consumer<Effect> {

	private static final Logger logger = LoggerFactory.getLogger(FleetEffectExecutor.class);

	private final PeerManager peers;

	private final PlatformClient platform;

	private final Consumer<Event> eventSink;

	private final Consumer<Effect> localEffectExecutor;

	private final ConfigurationContentCodec contentCodec = new ConfigurationContentCodec();

	private boolean headFailing;

	private boolean listFailing;

	FleetEffectExecutor(PeerManager peers, PlatformClient platform, Consumer<Event> eventSink,
			Consumer<Effect> localEffectExecutor) {
		this.peers = peers;
		this.platform = platform;
		this.eventSink = eventSink;
		this.localEffectExecutor = localEffectExecutor;
	}

	@Override
	public void accept(Effect effect) {
		if (effect instanceof MembershipEffect.SendHeartbeats send) {
			this.peers.sendHeartbeats(send.sequence());
		}
		else if (effect instanceof MembershipEffect.OpenConnection open) {
			this.peers.open(open.instance(), open.address());
		}
		else if (effect instanceof MembershipEffect.CloseConnection close) {
			this.peers.close(close.connection(), close.reason());
		}
		else if (effect instanceof MembershipEffect.PauseDetected pause) {
			logger.atWarn()
				.addKeyValue("event", "process-was-paused")
				.addKeyValue("gapMillis", pause.gapMillis())
				.log("this process was paused; verifying its peers again");
		}
		else if (effect instanceof MembershipEffect.ReadList read) {
			this.localEffectExecutor.accept(effect);
			readList(read);
		}
		else if (effect instanceof ConfigurationEffect) {
			executeConfigurationEffect(effect);
		}
		else {
			this.localEffectExecutor.accept(effect);
		}
	}

	private void executeConfigurationEffect(Effect effect) {
		if (effect instanceof ConfigurationEffect.ReadHead read) {
			readHead(read);
		}
		else if (effect instanceof ConfigurationEffect.ReadPart read) {
			readPart(read);
		}
		else if (effect instanceof ConfigurationEffect.PullVersion pull) {
			this.peers.send(pull.connection(), new ControlMessage.ConfigurationRequest(pull.version(), pull.held()));
		}
		else if (effect instanceof ConfigurationEffect.SendVersion send) {
			this.peers.send(send.connection(), this.contentCodec.encode(send.bundle(), Set.copyOf(send.held())));
		}
		else if (effect instanceof ConfigurationEffect.Rejected rejected) {
			logRejection(rejected.rejection());
		}
		else {
			this.localEffectExecutor.accept(effect);
		}
	}

	private void readList(MembershipEffect.ReadList read) {
		submitOutcome(this.platform.readInstances(read.after(), read.waitMillis()),
				(list) -> new MembershipEvent.ListRead(list.index(), list.value()), new MembershipEvent.ListUnchanged(),
				MembershipEvent.ListFailed::new);
	}

	private void readHead(ConfigurationEffect.ReadHead read) {
		submitOutcome(this.platform.readValue(ConfigurationBundle.HEAD_KEY, read.after(), read.waitMillis()),
				(head) -> new ConfigurationEvent.HeadRead(head.index(), head.value()),
				new ConfigurationEvent.HeadUnchanged(), ConfigurationEvent.HeadFailed::new);
	}

	private void readPart(ConfigurationEffect.ReadPart read) {
		submitOutcome(this.platform.readValue(ConfigurationBundle.partKey(read.part()), 0, 0),
				(part) -> new ConfigurationEvent.PartRead(read.part(), part.value()),
				new ConfigurationEvent.PartFailed(read.part(), "the service responded that the part has not changed"),
				(reason) -> new ConfigurationEvent.PartFailed(read.part(), reason));
	}

	private <T> void submitOutcome(CompletableFuture<Optional<PlatformClient.Indexed<T>>> reading,
			Function<PlatformClient.Indexed<T>, Event> changed, Event unchanged, Function<String, Event> failed) {
		reading.whenComplete((response, failure) -> {
			if (failure != null) {
				Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
				this.eventSink.accept(failed.apply(cause.getMessage()));
			}
			else {
				this.eventSink.accept(response.map(changed).orElse(unchanged));
			}
		});
	}

	private static void logRejection(Rejection rejection) {
		logger.atError()
			.addKeyValue("event", "configuration-rejected")
			.addKeyValue("version", rejection.version().toString())
			.addKeyValue("head", rejection.headDigest().hex())
			.addKeyValue("problems", rejection.problems().toString())
			.log("rejected an invalid published configuration; correct it and publish it with a higher revision");
	}

	/**
	 * Logs once when reads from the platform start to fail, and once when they succeed
	 * again.
	 * @param event an event that is about to be reduced
	 */
	void logReadState(Event event) {
		if (event instanceof ConfigurationEvent.HeadFailed failed) {
			logReadFailure("configuration-service", failed.reason(), this.headFailing);
			this.headFailing = true;
		}
		else if (event instanceof ConfigurationEvent.HeadRead || event instanceof ConfigurationEvent.HeadUnchanged) {
			logReadRecovery("configuration-service", this.headFailing);
			this.headFailing = false;
		}
		else if (event instanceof ConfigurationEvent.PartFailed failed) {
			logReadFailure("part " + failed.part(), failed.reason(), false);
		}
		else if (event instanceof MembershipEvent.ListFailed failed) {
			logReadFailure("list-of-instances", failed.reason(), this.listFailing);
			this.listFailing = true;
		}
		else if (event instanceof MembershipEvent.ListRead || event instanceof MembershipEvent.ListUnchanged) {
			logReadRecovery("list-of-instances", this.listFailing);
			this.listFailing = false;
		}
	}

	private static void logReadFailure(String source, String reason, boolean alreadyFailing) {
		if (!alreadyFailing) {
			logger.atWarn()
				.addKeyValue("event", "platform-read-failed")
				.addKeyValue("what", source)
				.addKeyValue("reason", reason)
				.log("failed to read from the platform; the configuration and the list in use remain in force");
		}
	}

	private static void logReadRecovery(String source, boolean wasFailing) {
		if (wasFailing) {
			logger.atInfo()
				.addKeyValue("event", "platform-read-again")
				.addKeyValue("what", source)
				.log("reads from the platform succeed again");
		}
	}

}
