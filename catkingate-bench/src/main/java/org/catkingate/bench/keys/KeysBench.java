package org.catkingate.bench.keys;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.idempotency.HomeView;
import org.catkingate.decisions.idempotency.KeyEffect;
import org.catkingate.decisions.idempotency.KeyEvent;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.KeyReducer;
import org.catkingate.decisions.idempotency.KeyState;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.idempotency.ServiceObservation;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.decisions.idempotency.VouchingEvaluator;
import org.catkingate.model.AccountName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

/**
 * A simulation of the agents of one service over a seeded schedule of restarts, half of
 * which replace an instance by one with another name. It runs the decision code of the
 * agents and counts the first attempts of purchases that are rejected with opaque keys,
 * with version 7 UUIDs and with issued keys. Time is simulated. Not thread-safe.
 *
 * @since 0.1
 */
public final class KeysBench {

	private static final VouchingBounds VOUCHING_BOUNDS = VouchingBounds.defaults();

	private static final ServiceName SERVICE = new ServiceName("catalogue-api");

	private static final long STEP_MILLIS = 2_000;

	private static final long DAY_MILLIS = 86_400_000;

	private static final long RESTART_DURATION_MILLIS = 20_000;

	private static final long LIST_LAG_MILLIS = 10_000;

	private static final double PERCENT = 100.0;

	private final KeyReducer reducer = KeyReducer.with(VOUCHING_BOUNDS);

	private final VouchingEvaluator vouchingEvaluator = VouchingEvaluator.with(VOUCHING_BOUNDS);

	private final Map<KeyKind, Integer> rejections = new EnumMap<>(KeyKind.class);

	private final List<Agent> agents = new ArrayList<>();

	private final KeysBenchOptions options;

	private final Random random;

	private List<KeyHome> listedHomes = List.of();

	private long listUpdateMillis = Long.MAX_VALUE;

	private int createdHomes;

	private int restarts;

	private int purchases;

	private KeysBench(KeysBenchOptions options) {
		this.options = options;
		this.random = new Random(options.seed);
	}

	/**
	 * Runs the simulation and prints the results.
	 * @param options the options
	 * @param out receives the results
	 */
	public static void run(KeysBenchOptions options, PrintStream out) {
		KeysBench bench = new KeysBench(options);
		bench.simulate();
		out.printf("seed %d, %d agents, %d days, %d restarts of these agents, %d purchases%n", options.seed,
				options.agents, options.days, bench.restarts, bench.purchases);
		for (KeyKind kind : KeyKind.values()) {
			int count = bench.rejections.getOrDefault(kind, 0);
			out.printf("%-24s refused %6d  (%.4f in 100)%n", kind.label, count, PERCENT * count / bench.purchases);
		}
	}

	private void simulate() {
		for (int i = 0; i < this.options.agents; i++) {
			this.agents.add(new Agent(newHome(), 0));
		}
		this.listedHomes = homes();
		// restarts and purchases begin after two retention times, because agents vouch
		// for keys only after they have observed their homes for one
		long startMillis = 2 * VOUCHING_BOUNDS.retentionMillis(this.options.windowSeconds * 1000L);
		double restartsPerStep = (double) this.options.restarts / this.options.nodes * this.options.agents * STEP_MILLIS
				/ DAY_MILLIS;
		for (long now = 0; now < startMillis + this.options.days * DAY_MILLIS; now += STEP_MILLIS) {
			if (now > startMillis && this.random.nextDouble() < restartsPerStep) {
				restart(now);
			}
			updateViews(now);
			exchangeStatements(now);
			if (now > startMillis) {
				simulatePurchase(now);
			}
		}
	}

	private KeyHome newHome() {
		this.createdHomes++;
		return new KeyHome(new InstanceId("shop-" + this.createdHomes), "10.0.0.1", this.createdHomes);
	}

	private List<KeyHome> homes() {
		return this.agents.stream().map((agent) -> agent.home).toList();
	}

	private void restart(long now) {
		this.restarts++;
		int index = this.random.nextInt(this.agents.size());
		boolean sameInstance = this.random.nextBoolean();
		KeyHome home = sameInstance ? this.agents.get(index).home : newHome();
		this.agents.set(index, new Agent(home, now + RESTART_DURATION_MILLIS));
		this.listUpdateMillis = now + LIST_LAG_MILLIS;
	}

	private void updateViews(long now) {
		if (now >= this.listUpdateMillis) {
			this.listedHomes = homes();
			this.listUpdateMillis = Long.MAX_VALUE;
		}
		HomeView view = HomeView.of(this.options.agents, this.listedHomes);
		ServiceObservation observation = new ServiceObservation(SERVICE, this.options.windowSeconds * 1000L, 1, view);
		for (Agent agent : this.agents) {
			agent.reduce(now, new KeyEvent.ServicesObserved(List.of(observation)));
			agent.reduce(now, new KeyEvent.ListConfirmed(now));
		}
	}

	private void exchangeStatements(long now) {
		Map<InstanceId, Agent> byInstance = new HashMap<>();
		this.agents.forEach((agent) -> byInstance.put(agent.home.instance(), agent));
		for (Agent agent : this.agents) {
			for (Effect effect : agent.reduce(now, new KeyEvent.StatementsDue())) {
				KeyEffect.RequestStatement request = (KeyEffect.RequestStatement) effect;
				Optional.ofNullable(byInstance.get(request.agent()))
					.ifPresent((responder) -> respond(agent, responder, request, now));
			}
		}
	}

	private void respond(Agent requester, Agent responder, KeyEffect.RequestStatement request, long now) {
		KeyEvent requested = new KeyEvent.StatementRequested(requester.home.instance(), SERVICE,
				request.requestedAtMillis());
		for (Effect effect : responder.reduce(now, requested)) {
			KeyEffect.SendStatement response = (KeyEffect.SendStatement) effect;
			requester.reduce(now, new KeyEvent.StatementReceived(responder.home.instance(), SERVICE,
					response.requestedAtMillis(), response.statement()));
		}
	}

	private void simulatePurchase(long now) {
		this.purchases++;
		countIfRejected(KeyKind.OPAQUE, "purchase-" + this.purchases, now);
		countIfRejected(KeyKind.TIMED,
				String.format("%08x-%04x-7000-8000-%012x", now >> Short.SIZE, now & 0xffff, this.purchases), now);
		if (this.agents.stream().noneMatch((agent) -> agent.isUp(now))) {
			this.rejections.merge(KeyKind.ISSUED, 1, Integer::sum);
		}
	}

	private void countIfRejected(KeyKind kind, String key, long now) {
		ScopedKey scopedKey = new ScopedKey(new AccountName("bar"), SERVICE, key);
		KeyHome home = HomeView.of(this.options.agents, this.listedHomes).home(scopedKey).orElseThrow();
		boolean vouched = this.agents.stream()
			.anyMatch((agent) -> agent.home.equals(home) && agent.isUp(now)
					&& this.vouchingEvaluator.evaluate(agent.state, scopedKey, 0, now, now).isVouched());
		if (!vouched) {
			this.rejections.merge(kind, 1, Integer::sum);
		}
	}

	private enum KeyKind {

		OPAQUE("opaque keys"), TIMED("version 7 UUIDs"), ISSUED("issued keys");

		private final String label;

		KeyKind(String text) {
			this.label = text;
		}

	}

	/**
	 * One incarnation of an agent. It processes no events until it is up.
	 */
	private final class Agent {

		private final KeyHome home;

		private final long upFromMillis;

		private KeyState state;

		private Agent(KeyHome home, long upFromMillis) {
			this.home = home;
			this.upFromMillis = upFromMillis;
			this.state = KeyState.starting(home);
		}

		private boolean isUp(long now) {
			return now >= this.upFromMillis;
		}

		private List<Effect> reduce(long now, KeyEvent event) {
			if (!isUp(now)) {
				return List.of();
			}
			ReductionResult<KeyState> result = KeysBench.this.reducer.reduce(this.state, now, event);
			this.state = result.state();
			return result.effects();
		}

	}

}
