package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.Digest;
import org.catkingate.model.ServiceName;

/**
 * One incarnation of an agent in {@link KeySimulation}, with its own clock. It calls only
 * the decision code.
 */
final class SimulatedAgent {

	static final ServiceName SERVICE = new ServiceName("catalogue");

	static final Digest CONTENT = Digest.of(new byte[0]);

	private static final int MAX_KEYS = 10_000;

	private static final double MAX_CLOCK_DRIFT = 0.001;

	private final KeyMemory memory = KeyMemory.bounded(MAX_KEYS, Long.MAX_VALUE);

	private final KeyReducer reducer = KeyReducer.with(KeySimulation.BOUNDS);

	private final VouchingEvaluator vouchingEvaluator = VouchingEvaluator.with(KeySimulation.BOUNDS);

	private final long clockOriginMillis;

	private final double clockRate;

	private final long wallOffsetMillis;

	private KeyState state;

	long pausedUntilMillis;

	boolean partitioned;

	boolean withoutList;

	boolean alive = true;

	private final KeyHome home;

	SimulatedAgent(KeyHome home, Random random) {
		this.home = home;
		this.clockOriginMillis = random.nextInt(1_000_000);
		this.clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
		this.wallOffsetMillis = random.nextInt((int) KeySimulation.BOUNDS.maxClockSkewMillis() + 1)
				- KeySimulation.BOUNDS.maxClockSkewMillis() / 2;
		KeyHome listening = new KeyHome(home.instance(), "127.0.0.1", home.port());
		this.state = KeyState.starting(listening);
	}

	KeyHome home() {
		return this.home;
	}

	long clock(long now) {
		return this.clockOriginMillis + (long) (now * this.clockRate);
	}

	List<Effect> reduce(long now, KeyEvent event) {
		ReductionResult<KeyState> result = this.reducer.reduce(this.state, clock(now), event);
		this.state = result.state();
		return result.effects();
	}

	Verdict evaluate(ScopedKey scopedKey, long heldMillis, long now) {
		return this.vouchingEvaluator.evaluate(this.state, scopedKey, heldMillis, clock(now),
				now + this.wallOffsetMillis);
	}

	Verdict.Reason admit(ScopedKey scopedKey, long now) {
		this.memory.removeExpired(clock(now));
		if (this.memory.find(scopedKey, CONTENT).kind() != KeyLookupResult.Kind.NEW) {
			return null;
		}
		Verdict verdict = evaluate(scopedKey, 0, now);
		if (verdict.isVouched()) {
			this.memory.begin(scopedKey, CONTENT);
		}
		return verdict.reason();
	}

	boolean start(ScopedKey scopedKey, long heldMillis, long now) {
		if (evaluate(scopedKey, heldMillis, now).isVouched()) {
			return true;
		}
		this.memory.release(scopedKey);
		return false;
	}

	void end(ScopedKey scopedKey, long now) {
		this.memory.fail(scopedKey,
				clock(now) + KeySimulation.BOUNDS.retentionMillis(KeySimulation.REPEAT_WINDOW_MILLIS));
	}

	List<KeyEvent> listRead(long requestedAtMillis, HomeView view) {
		List<KeyEvent> events = new ArrayList<>();
		events.add(new KeyEvent.ServicesObserved(
				List.of(new ServiceObservation(SERVICE, KeySimulation.REPEAT_WINDOW_MILLIS, 1, view))));
		if (view.members().contains(this.home)) {
			events.add(new KeyEvent.OwnAddressConfirmed(this.home));
		}
		events.add(new KeyEvent.ListConfirmed(clock(requestedAtMillis)));
		return events;
	}

}
