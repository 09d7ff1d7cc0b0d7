package org.catkingate.decisions.competition;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.admission.PredictionCorrection;
import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the decisions on competing calls, one for each load pattern. Four gateways are
 * fed with calls and know the load of the others from reports that are up to 200 ms old;
 * the runners follow the published formula of the engine.
 */
class CompetingLoadTests {

	private static final EngineProfile ENGINE = new EngineProfile(12, 5, 8.87, 0.02, 0, 19.1, 0, 2048, 930, 100,
			Long.MAX_VALUE, 96, List.of());

	private static final CallScope SCOPE = new CallScope(new ServiceName("songs"), List.of(), Residency.anywhere(),
			false);

	private static final Type URGENT = new Type("urgent", new Urgency(0, 0), 166, 787, 22, 402, 0.1);

	private static final Type MIDDLE = new Type("middle", new Urgency(0, 1), 92.3, 607, 14, 402, 0.23);

	private static final Type PATIENT = new Type("patient", new Urgency(0, 2), 129, 1290, 22, 1003, 0.38);

	private static final List<Type> TYPES = List.of(URGENT, MIDDLE, PATIENT);

	private static final long TIMEOUT_MILLIS = 6000;

	private final Random random = new Random(20261204);

	private final UrgencyLevels levels = new UrgencyLevels(
			TYPES.stream().map((type) -> new UrgencyLevels.Level(type.urgency(), type.goalMillis())).toList());

	private List<Gateway> gateways = createGateways(4);

	private List<Runner> runners = createRunners(12);

	private final PriorityQueue<Call> arrivals = new PriorityQueue<>(Comparator.comparingLong((call) -> call.at));

	private final List<Call> calls = new ArrayList<>();

	private long now;

	/** Until when no runner may serve, as reported. */
	private long readyAt;

	/** Whether callers come back at once and up to three times. */
	private boolean impatient;

	private List<Gateway> createGateways(int count) {
		return IntStream.range(0, count).mapToObj((i) -> new Gateway()).toList();
	}

	private List<Runner> createRunners(int count) {
		return IntStream.range(0, count).mapToObj(Runner::new).toList();
	}

	/** The factor of the rates at which all types use a part of the runners. */
	private double factor(double load) {
		double work = TYPES.stream()
			.mapToDouble((type) -> type.perSecond() * (type.promptTokens() / ENGINE.promptTokensPerMilli()
					+ type.events() * ENGINE.tokensPerEvent() * (ENGINE.stepMillis() + 0.24) / ENGINE.slots()))
			.sum();
		return load * this.runners.size() * 1000 / work;
	}

	private void add(Type type, double factor, long from, long to, double heavyShare) {
		double interval = 1000 / (type.perSecond() * factor);
		for (double at = from; at < to; at -= interval * Math.log(1 - this.random.nextDouble())) {
			int account = (this.random.nextDouble() < heavyShare) ? 0 : 1 + this.random.nextInt(9);
			Call call = new Call(type, new AccountName("account-" + account), (long) at);
			this.arrivals.add(call);
			this.calls.add(call);
		}
	}

	private void run(long until) {
		for (; this.now < until; this.now++) {
			this.runners.forEach(Runner::advance);
			while (!this.arrivals.isEmpty() && this.arrivals.peek().at <= this.now) {
				Call call = this.arrivals.remove();
				this.gateways.get(this.random.nextInt(this.gateways.size())).receive(call);
			}
			if (this.now % 50 == 0) {
				this.gateways.forEach(Gateway::check);
			}
		}
	}

	private double earned(Type type) {
		return average((call) -> call.type == type,
				(call) -> (call.startedAt < 0) ? 0 : call.isOnTime() ? 1 : type.lateValue());
	}

	private double served(Predicate<Call> filter) {
		return average(filter, (call) -> (call.startedAt < 0) ? 0 : 1);
	}

	private double average(Predicate<Call> filter, ToDoubleFunction<Call> measure) {
		return this.calls.stream().filter(filter).mapToDouble(measure).average().orElseThrow();
	}

	// Guards against patient calls that fill the queues until urgent ones are rejected.
	@Test
	void sustainedOverloadServesTheMostUrgentCallsFirst() {
		TYPES.forEach((type) -> add(type, factor(1.3), 0, 20_000, 0));
		run(27_000);
		assertThat(earned(URGENT)).isGreaterThanOrEqualTo(0.85);
		assertThat(earned(MIDDLE)).isGreaterThan(earned(PATIENT));
		assertThat(served((call) -> call.type == MIDDLE)).isGreaterThanOrEqualTo(0.8);
		assertThat(served((call) -> call.type == PATIENT)).isGreaterThan(0.25 * served((call) -> true));
	}

	// Guards against urgent calls that start late since many gateways see the same free
	// runners. The size is that of the first customer.
	@Test
	void sustainedOverloadWithManyGatewaysServesTheMostUrgentCallsFirst() {
		this.gateways = createGateways(16);
		this.runners = createRunners(41);
		TYPES.forEach((type) -> add(type, factor(1.3), 0, 10_000, 0));
		run(17_000);
		assertThat(served((call) -> call.type == URGENT)).isGreaterThan(served((call) -> call.type == MIDDLE));
		assertThat(earned(URGENT)).isGreaterThanOrEqualTo(0.85);
	}

	// Guards against a burst of the least urgent calls that costs the others their
	// value, and the same right after it for a burst of the most urgent ones.
	@Test
	void burstsOfTheLeastAndThenOfTheMostUrgentCalls() {
		TYPES.forEach((type) -> add(type, factor(0.8), 0, 18_000, 0));
		add(PATIENT, factor(0.8) * 1.3, 3000, 9000, 0);
		add(URGENT, factor(0.8) * 0.9, 9000, 15_000, 0);
		run(25_000);
		assertThat(earned(URGENT)).isGreaterThanOrEqualTo(0.85);
		assertThat(earned(MIDDLE)).isGreaterThanOrEqualTo(0.7);
		assertThat(served((call) -> call.type == PATIENT)).isGreaterThan(0.25 * served((call) -> true));
	}

	// Guards against a large account that takes the places of the small ones.
	@Test
	void oneAccountWithHalfOfAllTraffic() {
		TYPES.forEach((type) -> add(type, factor(1.3), 0, 20_000, 0.5));
		run(27_000);
		AccountName heavy = new AccountName("account-0");
		double small = served((call) -> !call.account.equals(heavy));
		double large = served((call) -> call.account.equals(heavy));
		assertThat(small).isGreaterThan(large);
		assertThat(large).isGreaterThan(0.25 * served((call) -> true));
	}

	// Guards against callers that win by coming back at once, and against their calls
	// driving out the others.
	@Test
	void callersThatRepeatThreeTimesAtOnce() {
		this.impatient = true;
		TYPES.forEach((type) -> add(type, factor(1.3), 0, 20_000, 0));
		run(27_000);
		assertThat(earned(URGENT)).isGreaterThanOrEqualTo(0.85);
	}

	// Guards against urgent calls that are rejected because the queues were filled
	// before the loss.
	@Test
	void aThirdOfTheRunnersIsLostAtOnce() {
		TYPES.forEach((type) -> add(type, factor(0.85), 0, 15_000, 0));
		run(5000);
		this.runners.subList(0, this.runners.size() / 3).forEach((runner) -> runner.up = false);
		run(22_000);
		assertThat(earned(URGENT)).isGreaterThanOrEqualTo(0.85);
		assertThat(served((call) -> call.type == PATIENT)).isGreaterThan(0.25 * served((call) -> true));
	}

	// Guards against calls that are rejected, and rejected again, while a version
	// arrives, and against late ones that delay those that can be on time.
	@Test
	void noRunnerForThreeSecondsAndThenAll() {
		// at a higher load, the runners cannot serve the calls of the gap before their
		// deadlines beside those that can be on time
		TYPES.forEach((type) -> add(type, factor(0.4), 0, 12_000, 0));
		run(3000);
		this.readyAt = 6000;
		run(19_000);
		assertThat(served((call) -> call.issuedAt >= 3000 && call.issuedAt < 6000)).isGreaterThanOrEqualTo(0.95);
		assertThat(average((call) -> call.issuedAt >= 6500 && call.type == URGENT, (call) -> call.isOnTime() ? 1 : 0))
			.isGreaterThanOrEqualTo(0.85);
	}

	/**
	 * A request type with the part of its value that a late response has.
	 */
	private record Type(String name, Urgency urgency, double perSecond, int promptTokens, int events, long goalMillis,
			double lateValue) {

	}

	private static final class Call {

		private final Type type;

		private final AccountName account;

		private final long issuedAt;

		private long at;

		private long sentAt;

		private double predicted;

		private long startedAt = -1;

		private int repeats;

		private Gateway gateway;

		private boolean late;

		private int tokensLeft;

		private int eventsLeft;

		private Call(Type type, AccountName account, long at) {
			this.type = type;
			this.account = account;
			this.issuedAt = at;
			this.at = at;
			this.tokensLeft = type.promptTokens();
			this.eventsLeft = type.events();
		}

		private boolean isOnTime() {
			return this.startedAt >= 0 && this.startedAt - this.issuedAt <= this.type.goalMillis();
		}

		private ServiceCompetition.Competitor competitor() {
			return new ServiceCompetition.Competitor(this.type.urgency(), this.type.name(), this.account,
					this.type.promptTokens() + ENGINE.meanResponseTokens());
		}

	}

	/** Obeys the decisions as the gateway does. */
	private final class Gateway {

		private final ServiceCompetition competition = new ServiceCompetition(0);

		private final WaitingQueue<Call> queue = new WaitingQueue<>();

		private PredictionCorrection correction = PredictionCorrection.none();

		private AdmissionDecision decide(Call call) {
			long now = CompetingLoadTests.this.now;
			double draw = CompetingLoadTests.this.random.nextDouble();
			CallRequirements regular = new CallRequirements(call.type.promptTokens(), call.type.goalMillis(),
					TIMEOUT_MILLIS - (now - call.issuedAt), this.correction.factor(), now - call.at, Long.MAX_VALUE,
					this.competition.competitionOf(CompetingLoadTests.this.levels, call.competitor(), now));
			CallRequirements requirements = call.late ? regular.afterWaiting() : regular;
			if (now < CompetingLoadTests.this.readyAt) {
				return AdmissionPolicies.whileLoading(0, OptionalLong.of(CompetingLoadTests.this.readyAt - now), 100,
						requirements, draw);
			}
			List<RunnerOption> options = CompetingLoadTests.this.runners.stream()
				.filter((runner) -> runner.up)
				.map((runner) -> runner.option(this))
				.toList();
			return AdmissionPolicies.earliestFirstEvent()
				.decide(options, new CallDescription(SCOPE, call.type.urgency(), call.account, requirements),
						Optional.of(ENGINE), draw);
		}

		private void receive(Call call) {
			call.late = false;
			call.gateway = this;
			this.competition.recordArrival(call.competitor(), CompetingLoadTests.this.now);
			sendWaiting();
			AdmissionDecision decision = decide(call);
			if (!(decision instanceof AdmissionDecision.Send)) {
				this.competition.recordUnplaced(call.competitor(), CompetingLoadTests.this.now);
			}
			if (!(decision instanceof AdmissionDecision.Wait wait) || !startWaiting(call, wait)) {
				end(call, decision);
			}
		}

		private boolean startWaiting(Call call, AdmissionDecision.Wait wait) {
			long now = CompetingLoadTests.this.now;
			boolean place = wait.cause() == AdmissionDecision.Wait.Cause.PLACE;
			WaitingQueue.WaitPlan plan = place
					? this.queue.plan(call.competitor(), wait.onTimeMillis(), wait.maxMillis(), this.competition, now)
					: new WaitingQueue.WaitPlan(true, wait.onTimeMillis(), 0);
			if (plan.allowed()) {
				this.queue.add(new WaitingQueue.Entry<>(call, call.type.urgency(), call.account, Residency.anywhere(),
						call.issuedAt, now + plan.onTimeMillis(), now + wait.maxMillis(), place), now);
			}
			return plan.allowed();
		}

		private void end(Call call, AdmissionDecision decision) {
			long now = CompetingLoadTests.this.now;
			if (decision instanceof AdmissionDecision.Send send) {
				this.competition.recordSend(call.competitor(), call.late, now);
				call.sentAt = now;
				call.predicted = send.predictedMillis();
				CompetingLoadTests.this.runners.get(Integer.parseInt(send.runner().toString())).add(call);
				return;
			}
			AdmissionDecision.Reject rejection = (decision instanceof AdmissionDecision.Wait wait) ? wait.otherwise()
					: (AdmissionDecision.Reject) decision;
			boolean impatient = CompetingLoadTests.this.impatient;
			long delay = impatient ? 10 : rejection.retryAfterMillis();
			if (call.repeats++ < (impatient ? 3 : 1) && delay <= (TIMEOUT_MILLIS - (now - call.issuedAt)) / 3) {
				call.at = now + delay;
				CompetingLoadTests.this.arrivals.add(call);
			}
		}

		private void sendWaiting() {
			long now = CompetingLoadTests.this.now;
			Optional<WaitingQueue.Turn<Call>> turn = this.queue.first(List.of(), this.competition, now);
			while (turn.isPresent()) {
				WaitingQueue.Entry<Call> entry = turn.get().entry();
				entry.call().late = turn.get().late();
				AdmissionDecision decision = decide(entry.call());
				if (!(decision instanceof AdmissionDecision.Send)
						|| !(entry.followsRate() || this.competition.canRelease(now))) {
					return;
				}
				if (!entry.followsRate()) {
					this.competition.recordRelease(ENGINE.completionIntervalMillis(),
							CompetingLoadTests.this.runners.size(), CompetingLoadTests.this.gateways.size(), now);
				}
				this.queue.remove(entry);
				end(entry.call(), decision);
				turn = this.queue.first(List.of(), this.competition, now);
			}
		}

		private void check() {
			sendWaiting();
			this.queue
				.removeHopeless(this.competition, (residency) -> OptionalLong.empty(), CompetingLoadTests.this.now)
				.forEach((entry) -> end(entry.call(), decide(entry.call())));
		}

	}

	/** Runs requests by the published formula of the engine. */
	private final class Runner {

		private final RunnerId id;

		/** The requests whose response has not started, those being read first. */
		private final List<Call> unread = new ArrayList<>();

		private final List<Call> responding = new ArrayList<>();

		private final List<Call> sentSinceReport = new ArrayList<>();

		private List<Call> reportedUnread = List.of();

		private List<Call> reportedResponding = List.of();

		private double passEnd;

		private boolean up = true;

		private Runner(int index) {
			this.id = new RunnerId(String.valueOf(index));
		}

		private void add(Call call) {
			this.unread.add(call);
			this.sentSinceReport.add(call);
		}

		private RunnerOption option(Gateway gateway) {
			List<Call> pending = known(this.unread, this.reportedUnread, gateway);
			// as in RunnerWork: other gateways see the same load
			double sentByOthers = 0.5 * (CompetingLoadTests.this.gateways.size() - 1)
					* this.sentSinceReport.stream().filter((call) -> call.gateway == gateway).count();
			return new RunnerOption(this.id, Distance.DATA_CENTRE, ENGINE.slots(),
					known(this.responding, this.reportedResponding, gateway).size(), pending.size() + sentByOthers,
					pending.stream().mapToDouble((call) -> call.type.promptTokens()).sum()
							+ sentByOthers * ENGINE.meanPromptTokens(),
					80, false, RunnerOption.NO_START_LIMIT_MILLIS);
		}

		private static List<Call> known(List<Call> current, List<Call> reported, Gateway gateway) {
			return Stream
				.concat(current.stream().filter((call) -> call.gateway == gateway),
						reported.stream().filter((call) -> call.gateway != gateway))
				.toList();
		}

		private void advance() {
			if (CompetingLoadTests.this.now % 200 == 0) {
				this.sentSinceReport.clear();
				this.reportedUnread = List.copyOf(this.unread);
				this.reportedResponding = List.copyOf(this.responding);
			}
			if (this.up && this.passEnd <= CompetingLoadTests.this.now) {
				this.responding.forEach((call) -> call.eventsLeft--);
				this.responding.removeIf((call) -> call.eventsLeft <= 0);
				this.unread.stream().filter((call) -> call.tokensLeft == 0).forEach(this::startResponse);
				this.unread.removeAll(this.responding);
				beginPass();
				CompetingLoadTests.this.gateways.forEach(Gateway::sendWaiting);
			}
		}

		private void startResponse(Call call) {
			call.startedAt = CompetingLoadTests.this.now;
			call.gateway.correction = call.gateway.correction.withObservation(call.predicted,
					call.startedAt - call.sentAt);
			call.eventsLeft--;
			this.responding.add(call);
		}

		private void beginPass() {
			this.unread.sort(Comparator.comparingInt((call) -> (call.tokensLeft < call.type.promptTokens()) ? -1
					: CompetingLoadTests.this.levels.priority(call.type.urgency(), call.late).orElseThrow()));
			int budget = ENGINE.promptTokensPerStep();
			int free = ENGINE.slots() - this.responding.size();
			for (Call call : this.unread.subList(0, Math.min(free, this.unread.size()))) {
				int read = Math.min(budget, call.tokensLeft);
				call.tokensLeft -= read;
				budget -= read;
			}
			double eventMillis = this.responding.isEmpty() ? 0 : ENGINE.tokensPerEvent()
					* (ENGINE.stepMillis() + ENGINE.stepMillisPerRequest() * this.responding.size());
			this.passEnd = CompetingLoadTests.this.now + Math.max(1,
					(ENGINE.promptTokensPerStep() - budget) / ENGINE.promptTokensPerMilli() + eventMillis);
		}

	}

}
