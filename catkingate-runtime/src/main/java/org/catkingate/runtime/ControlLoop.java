package org.catkingate.runtime;

import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * The one thread that owns control state: it reduces events in order and hands out their
 * effects. Any thread may submit events and read the state, which is immutable and
 * replaced whole. Tick events are made at an interval that may depend on the state.
 *
 * @param <S> the type of state
 * @since 0.1
 */
public final class ControlLoop<S> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ControlLoop.class);

	private static final long JOIN_TIMEOUT_MILLIS = 2000;

	private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private final Reducer<S> reducer;

	private final Consumer<Effect> effects;

	private final MonotonicClock clock;

	private final Supplier<Event> tick;

	private final ToLongFunction<S> tickMillis;

	private final Thread thread;

	private volatile S state;

	private volatile boolean running = true;

	private ControlLoop(S initial, Reducer<S> reducer, Consumer<Effect> effects, MonotonicClock clock,
			Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		this.state = initial;
		this.reducer = reducer;
		this.effects = effects;
		this.clock = clock;
		this.tick = tick;
		this.tickMillis = tickMillis;
		this.thread = new Thread(this::run, "control");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effects carries out effects on the control thread and must not block
	 * @param clock the clock
	 * @param tick makes a tick event
	 * @param tickMillis the interval between ticks, in milliseconds
	 * @return the running loop, never null
	 */
	public static <S> ControlLoop<S> start(S initial, Reducer<S> reducer, Consumer<Effect> effects,
			MonotonicClock clock, Supplier<Event> tick, long tickMillis) {
		return start(initial, reducer, effects, clock, tick, (state) -> tickMillis);
	}

	/**
	 * Starts the thread, with ticks whose interval depends on the state.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effects carries out effects on the control thread and must not block
	 * @param clock the clock
	 * @param tick makes a tick event
	 * @param tickMillis gives the time from one tick to the next, in milliseconds; asked
	 * after each event
	 * @return the running loop, never null
	 */
	public static <S> ControlLoop<S> start(S initial, Reducer<S> reducer, Consumer<Effect> effects,
			MonotonicClock clock, Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		ControlLoop<S> loop = prepare(initial, reducer, effects, clock, tick, tickMillis);
		loop.begin();
		return loop;
	}

	/**
	 * Prepares a loop that does nothing before {@link #begin()}, so that effects can
	 * refer to it.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effects carries out effects on the control thread and must not block
	 * @param clock the clock
	 * @param tick makes a tick event
	 * @param tickMillis gives the time from one tick to the next, in milliseconds; asked
	 * after each event
	 * @return the loop, never null
	 */
	public static <S> ControlLoop<S> prepare(S initial, Reducer<S> reducer, Consumer<Effect> effects,
			MonotonicClock clock, Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		Objects.requireNonNull(initial, "initial must not be null");
		return new ControlLoop<>(initial, reducer, effects, clock, tick, tickMillis);
	}

	/**
	 * Starts the thread; to be called once.
	 */
	public void begin() {
		this.thread.start();
	}

	/**
	 * Adds an event, without waiting for its reduction.
	 * @param event the event, never null
	 */
	public void submit(Event event) {
		this.events.add(event);
	}

	/**
	 * Returns the state after the latest event.
	 * @return the state, never null
	 */
	public S state() {
		return this.state;
	}

	private void run() {
		long lastTick = this.clock.millis() - this.tickMillis.applyAsLong(this.state);
		while (this.running) {
			try {
				long nextTick = lastTick + this.tickMillis.applyAsLong(this.state);
				Event event = this.events.poll(Math.max(0, nextTick - this.clock.millis()), TimeUnit.MILLISECONDS);
				if (event != null) {
					reduce(event);
				}
				if (this.clock.millis() >= nextTick) {
					reduce(this.tick.get());
					lastTick = this.clock.millis();
				}
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void reduce(Event event) {
		try {
			Step<S> step = this.reducer.reduce(this.state, this.clock.millis(), event);
			this.state = step.state();
			step.effects().forEach(this.effects);
		}
		catch (RuntimeException ex) {
			logger.atError()
				.addKeyValue("event", "control-event-failed")
				.addKeyValue("kind", event.getClass().getSimpleName())
				.setCause(ex)
				.log("an event could not be handled; report it with this line");
		}
	}

	/**
	 * Ends the thread. Events not yet reduced are dropped.
	 */
	@Override
	public void close() {
		this.running = false;
		this.thread.interrupt();
		try {
			this.thread.join(JOIN_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
