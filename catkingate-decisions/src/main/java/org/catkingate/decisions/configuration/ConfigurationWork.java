package org.catkingate.decisions.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Rendezvous;
import org.catkingate.decisions.Step;
import org.catkingate.decisions.reading.ReadSchedule;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.ConfigurationHead;

/**
 * One reduction in progress: a copy of the state that the steps change. For use by one
 * thread.
 */
final class ConfigurationWork {

	private static final int HIGHEST_SHIFT = 8;

	private final long now;

	private final long seed;

	private final List<Effect> effects = new ArrayList<>();

	private final Map<Digest, byte[]> parts;

	private final SortedMap<Long, Offer> offers;

	private final List<Rejection> rejections;

	private Adoption inForce;

	private Adoption candidate;

	private Startup startup;

	private Transfer transfer;

	private Question question;

	private long questions;

	private ReadSchedule head;

	private long lowerReads;

	private long windowAt;

	private int sentInWindow;

	ConfigurationWork(ConfigurationState state, long nowMillis) {
		this.now = nowMillis;
		this.seed = state.seed();
		this.parts = new HashMap<>(state.parts());
		this.offers = new TreeMap<>(state.offers());
		this.rejections = new ArrayList<>(state.rejections());
		this.inForce = state.inForce();
		this.candidate = state.candidate();
		this.startup = state.startup();
		this.transfer = state.transfer();
		this.question = state.question();
		this.questions = state.questions();
		this.head = state.head();
		this.lowerReads = state.lowerReads();
		this.windowAt = state.windowAtMillis();
		this.sentInWindow = state.sentInWindow();
	}

	Step<ConfigurationState> finish() {
		ConfigurationState state = new ConfigurationState(this.seed, this.inForce, this.candidate, this.startup,
				this.parts, this.offers, this.transfer, this.question, this.questions, this.rejections, this.head,
				this.lowerReads, this.windowAt, this.sentInWindow);
		return new Step<>(state, this.effects);
	}

	void tick() {
		if (this.head.isOverdue(this.now)) {
			this.head = this.head.failed(this.now);
		}
		if (this.head.isDue(this.now)) {
			this.effects.add(new ConfigurationEffect.ReadHead(this.head.index(), this.head.waitMillis()));
			this.head = this.head.started(this.now);
		}
		if (this.transfer != null) {
			Map<Digest, Long> reading = this.transfer.reading();
			reading.forEach((part, until) -> {
				if (this.now >= until) {
					partFailed(part, "no answer in time");
				}
			});
		}
	}

	void dutyChanged(ConfigurationEvent.DutyChanged duty) {
		this.head = this.head.at(this.now, duty.pace(), duty.fleetSize());
	}

	void contactsChanged(ConfigurationEvent.ContactsChanged contacts) {
		this.startup = this.startup.with(contacts.complete(), contacts.links());
	}

	void headRead(long index, byte[] bytes) {
		try {
			ConfigurationHead parsed = ConfigurationHead.parse(bytes);
			this.head = this.head.answered(this.now, index);
			if (isLower(parsed.version())) {
				this.lowerReads++;
			}
			if (isWanted(parsed.version())
					&& (this.transfer == null || parsed.version().isHigherThan(this.transfer.version()))) {
				this.transfer = Transfer.of(bytes, parsed, this.now);
			}
		}
		catch (InvalidConfigurationException ex) {
			this.head = this.head.failed(this.now);
			reject(new Rejection(ConfigurationVersion.none(), Digest.of(bytes), ex.problems()));
		}
	}

	private boolean isLower(ConfigurationVersion version) {
		return highest().isHigherThan(version);
	}

	private ConfigurationVersion highest() {
		ConfigurationVersion highest = (this.inForce != null) ? this.inForce.version() : ConfigurationVersion.none();
		return (this.candidate != null && this.candidate.version().isHigherThan(highest)) ? this.candidate.version()
				: highest;
	}

	private boolean isWanted(ConfigurationVersion version) {
		return version.isHigherThan(highest())
				&& this.rejections.stream().noneMatch((rejection) -> rejection.version().equals(version));
	}

	void headUnchanged() {
		this.head = this.head.answered(this.now, this.head.index());
	}

	void headFailed() {
		this.head = this.head.failed(this.now);
	}

	void partRead(Digest part, byte[] bytes) {
		if (this.transfer == null || !this.transfer.parsed().parts().contains(part)) {
			return;
		}
		if (!Digest.of(bytes).equals(part)) {
			partFailed(part, "the bytes are not those of its digest");
			return;
		}
		this.parts.put(part, bytes);
		this.transfer = this.transfer.read(part);
	}

	void partFailed(Digest part, String reason) {
		if (this.transfer != null && this.transfer.parsed().parts().contains(part)) {
			long full = ConfigurationTimes.FIRST_BACKOFF_MILLIS << Math.min(HIGHEST_SHIFT, this.transfer.failures());
			long bounded = Math.min(ConfigurationTimes.LONGEST_BACKOFF_MILLIS, full);
			double jitter = Rendezvous.unit(this.seed + this.transfer.failures());
			this.transfer = this.transfer.failed(part, reason, this.now + Math.round(bounded * (0.5 + jitter)));
		}
	}

	void offered(ConfigurationEvent.Offered offered) {
		this.offers.put(offered.link(), new Offer(offered.link(), offered.distance(), offered.version(), 0));
	}

	void peerLost(long link) {
		this.offers.remove(link);
		if (this.question != null && this.question.link() == link) {
			this.question = null;
		}
	}

	void asked(ConfigurationEvent.Asked asked) {
		if (this.inForce == null || asked.version().isHigherThan(this.inForce.version())) {
			return;
		}
		if (this.now - this.windowAt >= ConfigurationTimes.CONTENT_WINDOW_MILLIS) {
			this.windowAt = this.now;
			this.sentInWindow = 0;
		}
		if (this.sentInWindow < ConfigurationTimes.CONTENTS_PER_WINDOW) {
			this.sentInWindow++;
			this.effects.add(new ConfigurationEffect.SendContent(asked.link(), this.inForce.bundle(), asked.held()));
		}
	}

	void contentArrived(ConfigurationEvent.ContentArrived arrived) {
		if (this.question != null && this.question.link() == arrived.link()) {
			this.question = null;
		}
		try {
			ConfigurationHead parsed = ConfigurationHead.parse(arrived.head());
			if (!isWanted(parsed.version())) {
				return;
			}
			for (byte[] part : arrived.parts()) {
				Digest digest = Digest.of(part);
				if (parsed.parts().contains(digest)) {
					this.parts.put(digest, part);
				}
			}
			if (this.parts.keySet().containsAll(parsed.parts())) {
				complete(arrived.head(), parsed.version());
			}
		}
		catch (InvalidConfigurationException ex) {
			reject(new Rejection(ConfigurationVersion.none(), Digest.of(arrived.head()), ex.problems()));
		}
	}

	void proceed() {
		completeTransfer();
		finishStartup();
		readMissingParts();
		ask();
	}

	private void completeTransfer() {
		if (this.transfer != null && !isWanted(this.transfer.version())) {
			this.transfer = null;
		}
		if (this.transfer != null && this.parts.keySet().containsAll(this.transfer.parsed().parts())) {
			complete(this.transfer.head(), this.transfer.version());
			this.transfer = null;
		}
	}

	private void complete(byte[] headBytes, ConfigurationVersion version) {
		try {
			ConfigurationBundle bundle = ConfigurationBundle.assemble(headBytes, this.parts);
			Adoption adoption = new Adoption(bundle, bundle.parse());
			if (this.startup.finished()) {
				adopt(adoption);
			}
			else {
				this.candidate = adoption;
			}
			forgetOtherParts(bundle);
		}
		catch (InvalidConfigurationException ex) {
			reject(new Rejection(version, version.digest(), ex.problems()));
		}
	}

	private void adopt(Adoption adoption) {
		this.inForce = adoption;
		this.candidate = null;
		this.effects.add(new ConfigurationEffect.Adopted(adoption.configuration()));
	}

	private void forgetOtherParts(ConfigurationBundle bundle) {
		this.parts.keySet()
			.removeIf((digest) -> !bundle.parts().containsKey(digest)
					&& (this.transfer == null || !this.transfer.parsed().parts().contains(digest)));
	}

	private void reject(Rejection rejection) {
		if (this.rejections.stream().anyMatch((known) -> known.head().equals(rejection.head()))) {
			return;
		}
		this.rejections.add(rejection);
		if (this.rejections.size() > ConfigurationTimes.REJECTIONS) {
			this.rejections.remove(0);
		}
		this.effects.add(new ConfigurationEffect.Rejected(rejection));
	}

	private void finishStartup() {
		if (this.startup.finished() || !hasAskedEnough()) {
			return;
		}
		this.startup = this.startup.finish();
		this.effects.add(new ConfigurationEffect.PeersAsked(this.offers.size()));
		if (this.candidate != null) {
			adopt(this.candidate);
		}
	}

	private boolean hasAskedEnough() {
		long waited = this.now - this.startup.startedAtMillis();
		if (waited >= ConfigurationTimes.ASK_PEERS_LONGEST_MILLIS) {
			return true;
		}
		boolean pending = this.offers.values().stream().anyMatch((offer) -> isWanted(offer.version()));
		if (pending) {
			return false;
		}
		long knowing = this.offers.values()
			.stream()
			.filter((offer) -> offer.version().isHigherThan(ConfigurationVersion.none()))
			.count();
		return waited >= ConfigurationTimes.ASK_PEERS_MILLIS || knowing >= ConfigurationTimes.PEERS_TO_ASK
				|| this.startup.hasAskedAll(this.offers.keySet());
	}

	private void readMissingParts() {
		if (this.transfer == null || this.now < this.transfer.dueAtMillis()) {
			return;
		}
		for (Digest part : this.transfer.parsed().parts()) {
			if (!this.parts.containsKey(part) && !this.transfer.reading().containsKey(part)) {
				this.transfer = this.transfer.reading(part, this.now + ConfigurationTimes.PART_MILLIS);
				this.effects.add(new ConfigurationEffect.ReadPart(part));
			}
		}
	}

	private void ask() {
		if (this.question != null && this.now >= this.question.untilMillis()) {
			this.offers.computeIfPresent(this.question.link(), (link, offer) -> offer.askedInVain());
			this.question = null;
		}
		if (this.question == null) {
			bestOffer().ifPresent(this::ask);
		}
	}

	private Optional<Offer> bestOffer() {
		Comparator<Offer> order = Comparator.comparing(Offer::version)
			.reversed()
			.thenComparingInt(Offer::attempts)
			.thenComparingInt(Offer::distance)
			.thenComparingLong((offer) -> Rendezvous.mix(this.seed + this.questions + offer.link()));
		return this.offers.values().stream().filter((offer) -> isWanted(offer.version())).min(order);
	}

	private void ask(Offer offer) {
		this.questions++;
		this.question = new Question(offer.link(), offer.version(), this.now + ConfigurationTimes.PULL_MILLIS);
		List<Digest> held = this.parts.keySet().stream().sorted().toList();
		this.effects.add(new ConfigurationEffect.Pull(offer.link(), offer.version(), held));
	}

}
