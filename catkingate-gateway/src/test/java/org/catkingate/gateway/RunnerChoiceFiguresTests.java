package org.catkingate.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.admission.PredictionCorrection;
import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.cost.CallCost;
import org.catkingate.decisions.cost.LengthEstimate;
import org.catkingate.decisions.cost.LengthEstimator;
import org.catkingate.decisions.cost.RequestFeatures;
import org.catkingate.decisions.cost.RunnerBacklog;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares rules for the choice of a runner, fed by the published formula of engines:
 * reports 100 to 300 ms old, and each runner 2.5 times slow for 600 ms in turn.
 */
class RunnerChoiceFiguresTests {

	private static final EngineProfile ENGINE = new EngineProfile(12, 5, 8.87, 0.0232, 0, 19.1, 0, 2048, 910, 100,
			Long.MAX_VALUE, 96, List.of(new ModelName("m")));

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final int RUNNERS = 41;

	private static final int MAX_QUEUE = 24;

	/**
	 * The time that a request of usual size takes of an engine whose slots are in use.
	 */
	private static final double REQUEST_MILLIS = 131;

	private static final int WARM_UP_MILLIS = 10_000;

	private static final int PAUSE_BOUND_MILLIS = 250;

	/** The standard deviation of the logarithm of the length of responses. */
	private static final double SPREAD = 1.2;

	private static final byte[] EVENT = "data: x\n\n".getBytes();

	/** Share, prompt tokens, mean response tokens and goal of each request type. */
	private static final double[][] TYPES = { { 0.33, 1290, 110, 1003 }, { 0.43, 787, 110, 402 },
			{ 0.24, 607, 70, 402 } };

	private static final int[] GATEWAYS = { 4, 16, 40 };

	private static final double[] LOADS = { 0.55, 0.8, 1.1 };

	private static Figures measure(int gateways, double load, Rule rule, Estimate estimate) {
		List<Figures> runs = new ArrayList<>();
		for (int seed = 1; seed <= 2; seed++) {
			runs.add(new Run(gateways, load, rule, estimate, seed).run(70_000));
		}
		Figures mean = new Figures(mean(runs, Figures::late), mean(runs, Figures::lateLarge),
				mean(runs, Figures::paused), mean(runs, Figures::busiest));
		System.out.printf(Locale.ROOT, "| %.2f | %d | %s, %s | %.2f | %.2f | %.2f | %.2f |%n", load, gateways, rule,
				estimate, 100 * mean.late(), 100 * mean.lateLarge(), 100 * mean.paused(), mean.busiest());
		return mean;
	}

	private static double mean(List<Figures> runs, ToDoubleFunction<Figures> figure) {
		return runs.stream().mapToDouble(figure).average().orElseThrow();
	}

	// Guards against a rule that is no better than the one without costs, and against one
	// that depends on estimates being right.
	@Test
	void theRuleByCostIsNotWorseThanThePresentOneEvenWithWrongEstimates() {
		for (double load : LOADS) {
			for (int gateways : GATEWAYS) {
				double present = measure(gateways, load, Rule.POLICY, Estimate.NONE).late();
				double byCost = measure(gateways, load, Rule.POLICY, Estimate.LEARNED).late();
				assertThat(byCost).isLessThanOrEqualTo(present * ((gateways < 40 && load < 1) ? 1 : 1.1));
				for (Estimate wrong : List.of(Estimate.CONSTANT, Estimate.INVERTED, Estimate.DELAYED)) {
					assertThat(measure(gateways, load, Rule.POLICY, wrong).late()).as("%s", wrong)
						.isLessThanOrEqualTo(1.1 * present);
				}
			}
		}
	}

	// Guards against a change of the predictions after which another rule is better.
	@Test
	void theRuleByCostIsBetterThanLeastWorkAndTwoChoices() {
		for (int gateways : GATEWAYS) {
			double chosen = measure(gateways, 0.8, Rule.POLICY, Estimate.LEARNED).late();
			for (Estimate estimate : List.of(Estimate.HINT, Estimate.LEARNED, Estimate.TRUE)) {
				assertThat(measure(gateways, 0.8, Rule.LEAST_WORK, estimate).late()).isGreaterThan(chosen);
				assertThat(measure(gateways, 0.8, Rule.TWO_CHOICES, estimate).late()).isGreaterThan(chosen);
			}
			measure(gateways, 0.8, Rule.POLICY, Estimate.HINT);
			measure(gateways, 0.8, Rule.POLICY, Estimate.TRUE);
		}
	}

	// Guards against work that piles up at single runners on a calm day, for example
	// since
	// others count as slow for as long as they get no requests.
	@Test
	void theBusiestRunnerGetsAtMostFifteenPercentMoreWorkThanTheMean() {
		Figures calm = new Run(16, 0.55, Rule.POLICY, Estimate.LEARNED, 1).run(400_000);
		System.out.printf(Locale.ROOT, "calm day: busiest %.3f%n", calm.busiest());
		assertThat(calm.busiest()).isLessThanOrEqualTo(1.15);
	}

	private enum Estimate {

		NONE, HINT, LEARNED, TRUE, CONSTANT, INVERTED, DELAYED

	}

	private enum Rule {

		POLICY, LEAST_WORK, TWO_CHOICES

	}

	private record Figures(double late, double lateLarge, double paused, double busiest) {

	}

	private static final class Run {

		private final Random random;

		private final double load;

		private final Rule rule;

		private final Estimate estimate;

		private final List<Gateway> gateways = new ArrayList<>();

		private final List<Engine> engines = new ArrayList<>();

		private final List<Request> requests = new ArrayList<>();

		Run(int gateways, double load, Rule rule, Estimate estimate, int seed) {
			this.random = new Random(seed);
			this.load = load;
			this.rule = rule;
			this.estimate = estimate;
			for (int i = 0; i < RUNNERS; i++) {
				this.engines.add(new Engine(i));
			}
			for (int i = 0; i < gateways; i++) {
				this.gateways.add(new Gateway(i));
			}
		}

		Figures run(int endMillis) {
			double nextArrival = 0;
			for (int now = 0; now < endMillis; now++) {
				for (Engine engine : this.engines) {
					if (now % 200 == 0) {
						engine.report = engine.load(now);
						engine.reportedWork = engine.remainingTokens();
					}
					if (now % 200 == 100) {
						for (Gateway gateway : this.gateways) {
							gateway.works.get(engine.index).recordLoad(engine.report, now);
						}
					}
					engine.advance(now);
				}
				while (nextArrival <= now) {
					send(new Request(this.gateways.get(this.random.nextInt(this.gateways.size())), now, this.random));
					nextArrival -= Math.log(1 - this.random.nextDouble()) * REQUEST_MILLIS / this.load / RUNNERS;
				}
			}
			List<Request> counted = this.requests.stream()
				.filter((request) -> request.at >= WARM_UP_MILLIS && request.at < endMillis - 6000)
				.toList();
			double work = this.engines.stream().mapToDouble((engine) -> engine.work).sum();
			double busiest = this.engines.stream().mapToDouble((engine) -> engine.work).max().orElseThrow();
			return new Figures(share(counted, Request::isLate),
					share(counted.stream().filter((request) -> request.tokens > 350).toList(), Request::isLate),
					share(counted, (request) -> request.paused), busiest * RUNNERS / work);
		}

		private static double share(List<Request> all, Predicate<Request> condition) {
			return (double) all.stream().filter(condition).count() / all.size();
		}

		private void send(Request request) {
			this.requests.add(request);
			Gateway gateway = request.gateway;
			Optional<CallCost> cost = (this.estimate == Estimate.NONE) ? Optional.empty()
					: Optional.of(new CallCost(estimate(request), 100, 100 * Math.exp(SPREAD * SPREAD) / 2));
			List<RunnerOption> options = new ArrayList<>();
			for (Engine engine : this.engines) {
				if (engine.fullUntil <= request.at) {
					options.add(gateway.createOption(engine, cost, request.at));
				}
			}
			CallDescription call = new CallDescription(new CallScope(SERVICE, List.of(), Residency.anywhere(), false),
					new Urgency(0, 0), null,
					new CallRequirements((long) request.prompt, (long) request.goal, 6000, gateway.correction.factor()),
					cost);
			if (!(choose(options, call) instanceof AdmissionDecision.Send send)) {
				return;
			}
			Engine chosen = this.engines.get(Integer.parseInt(send.runner().toString()));
			request.predicted = send.predictedMillis();
			request.sent = gateway.works.get(chosen.index)
				.add(new RequestCost((long) request.prompt, cost, ENGINE.tokensPerEvent(), RequestCost.Recorder.NONE),
						request.at);
			chosen.accept(request);
		}

		private LengthEstimate estimate(Request request) {
			return switch (this.estimate) {
				case NONE, CONSTANT -> LengthEstimate.exactly(100);
				case HINT -> LengthEstimate.exactly(request.features.hint());
				case LEARNED -> request.gateway.estimator.estimate(request.features, 100, 0);
				case TRUE -> LengthEstimate.exactly(request.tokens);
				case INVERTED -> LengthEstimate.exactly(10_000 / request.tokens);
				case DELAYED ->
					LengthEstimate.exactly(this.requests.get(Math.max(0, this.requests.size() - 500)).tokens);
			};
		}

		private AdmissionDecision choose(List<RunnerOption> options, CallDescription call) {
			List<RunnerOption> candidates = options;
			if (this.rule == Rule.TWO_CHOICES) {
				candidates = List.of(options.get(this.random.nextInt(options.size())),
						options.get(this.random.nextInt(options.size())));
			}
			if (this.rule != Rule.POLICY) {
				candidates = List.of(Collections.min(candidates, Comparator.comparingDouble(Run::work)));
			}
			return AdmissionPolicies.earliestFirstEvent()
				.decide(candidates, call, Optional.of(ENGINE), this.random.nextDouble());
		}

		private static double work(RunnerOption option) {
			return work(option.pendingPromptTokens(), option.backlog().get().responseLength());
		}

		private static double work(double promptTokens, double responseTokens) {
			return promptTokens / ENGINE.promptTokensPerMilli() + responseTokens * ENGINE.stepMillis() / ENGINE.slots();
		}

		private final class Gateway {

			private final int index;

			private final List<RunnerWork> works = new ArrayList<>();

			private final LengthEstimator estimator = new LengthEstimator();

			private PredictionCorrection correction = PredictionCorrection.none();

			Gateway(int index) {
				this.index = index;
				Run.this.engines.forEach((engine) -> this.works.add(new RunnerWork()));
			}

			RunnerOption createOption(Engine engine, Optional<CallCost> cost, int now) {
				Distance distance = (engine.index % 3 == this.index % 3) ? Distance.DATA_CENTRE : Distance.ELSEWHERE;
				RunnerOption option = this.works.get(engine.index)
					.createOption(
							engine.registered, distance, new RunnerWork.Circumstances(ENGINE.meanPromptTokens(),
									Run.this.gateways.size() - 1, RunnerOption.NO_START_LIMIT_MILLIS, cost),
							false, now);
				return (Run.this.estimate != Estimate.TRUE) ? option
						: new RunnerOption(option.runner(), distance, option.slots(), option.responding(),
								option.pending(), option.pendingPromptTokens(), 0, false, option.startWithinMillis(),
								option.backlog()
									.map((known) -> new RunnerBacklog(engine.reportedWork, known.slowdown(), 0, 200)));
			}

		}

	}

	/** A runner that works by the published formula. */
	private static final class Engine {

		private final int index;

		private final RegisteredRunner registered;

		private final Deque<Request> queue = new ArrayDeque<>();

		private final List<Request> reading = new ArrayList<>();

		private final List<Request> generating = new ArrayList<>();

		private RunnerLoad report;

		private double reportedWork;

		private int passEndsAt;

		private int fullUntil;

		private double work;

		Engine(int index) {
			this.index = index;
			this.registered = new RegisteredRunner(new RunnerId(String.valueOf(index)), 1, SERVICE,
					new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), ENGINE.slots(), false, Map.of(), 0);
		}

		double slowdown(int now) {
			return ((now / 600 + this.index) % 7 == 0) ? 2.5 : 1;
		}

		RunnerLoad load(int now) {
			return new RunnerLoad(this.generating.size(), this.queue.size() + this.reading.size(),
					OptionalDouble.of(slowdown(now)));
		}

		double remainingTokens() {
			return Stream.of(this.queue, this.reading, this.generating)
				.flatMap(Collection::stream)
				.mapToDouble((request) -> request.tokens - request.produced)
				.sum();
		}

		void accept(Request request) {
			if (this.queue.size() >= MAX_QUEUE) {
				request.sent.end(false, request.at);
				this.fullUntil = request.at + 100;
				return;
			}
			this.queue.add(request);
			this.work += (request.at > WARM_UP_MILLIS) ? Run.work(request.prompt, request.tokens) : 0;
		}

		void advance(int now) {
			if (now < this.passEndsAt) {
				return;
			}
			this.generating.removeIf((request) -> request.addEvent(this, now));
			while (this.generating.size() + this.reading.size() < ENGINE.slots() && !this.queue.isEmpty()) {
				this.reading.add(this.queue.poll());
			}
			double budget = ENGINE.promptTokensPerStep();
			for (Request request : this.reading) {
				double read = Math.min(budget, request.unread);
				request.unread -= read;
				budget -= read;
			}
			this.generating.addAll(this.reading.stream().filter((request) -> request.unread <= 0).toList());
			this.reading.removeIf((request) -> request.unread <= 0);
			double readMillis = (ENGINE.promptTokensPerStep() - budget) / ENGINE.promptTokensPerMilli();
			double stepsMillis = this.generating.isEmpty() ? 0 : ENGINE.tokensPerEvent()
					* (ENGINE.stepMillis() + ENGINE.stepMillisPerRequest() * this.generating.size());
			this.passEndsAt = now + (int) Math.ceil(slowdown(now) * (readMillis + stepsMillis));
		}

	}

	private static final class Request {

		private final Run.Gateway gateway;

		private final int at;

		private final double goal;

		private final double prompt;

		private final double tokens;

		private final RequestFeatures features;

		private double unread;

		private double produced;

		private double predicted;

		private int firstAt = -1;

		private int lastAt;

		private boolean paused;

		private SentRequest sent;

		Request(Run.Gateway gateway, int at, Random random) {
			double pick = random.nextDouble();
			int type = (pick < 0.33) ? 0 : (pick < 0.76) ? 1 : 2;
			this.gateway = gateway;
			this.at = at;
			this.goal = TYPES[type][3];
			this.prompt = TYPES[type][1] * Math.exp(0.3 * random.nextGaussian());
			this.unread = this.prompt;
			this.tokens = Math.max(1, TYPES[type][2] * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2));
			long hint = (long) Math.max(1, this.tokens * Math.exp(0.8 * random.nextGaussian()));
			this.features = new RequestFeatures("route-" + type, "account-" + random.nextInt(24), hint,
					(long) this.prompt);
		}

		boolean isLate() {
			return this.firstAt < 0 || this.firstAt - this.at > this.goal;
		}

		boolean addEvent(Engine engine, int now) {
			this.produced += ENGINE.tokensPerEvent();
			if (this.firstAt < 0) {
				this.firstAt = now;
				this.sent.startResponse(now - this.at);
				this.gateway.works.get(engine.index).recordResponseLoad(engine.load(now), now);
				this.gateway.correction = this.gateway.correction.withObservation(this.predicted, now - this.at);
			}
			this.paused |= this.lastAt > 0 && now - this.lastAt > PAUSE_BOUND_MILLIS;
			this.lastAt = now;
			this.sent.recordData(EVENT);
			boolean complete = this.produced >= this.tokens;
			if (complete) {
				this.sent.end(true, now);
				this.gateway.estimator.record(this.features, this.produced, 100);
			}
			return complete;
		}

	}

}
