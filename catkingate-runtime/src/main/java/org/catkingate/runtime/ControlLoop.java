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
import org.catkingate.decisions.ReductionResult;

/**
 * A single-threaded event loop that owns control state: its thread reduces events in
 * order and passes their effects to a consumer. Any thread may submit events and read the
 * state; each event replaces the immutable state as a whole. The loop also creates tick
 * events, at an interval that may depend on the state.
 *
 * @param <S> the type of state
 * @since 0.1
 */
public final class ControlLoop<S> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ControlLoop.class);

	private static final long JOIN_TIMEOUT_MILLIS = 2000;

	private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private final Reducer<S> reducer;

	private final Consumer<Effect> effectExecutor;

	private final MonotonicClock clock;

	private final Supplier<Event> tick;

	private final ToLongFunction<S> tickMillis;

	private final Thread thread;

	private volatile S state;

	private volatile boolean running = true;

	private ControlLoop(S initial, Reducer<S> reducer, Consumer<Effect> effectExecutor, MonotonicClock clock,
			Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		this.state = initial;
		this.reducer = reducer;
		this.effectExecutor = effectExecutor;
		this.clock = clock;
		this.tick = tick;
		this.tickMillis = tickMillis;
		this.thread = new Thread(this::run, "control");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts a loop with ticks at a fixed interval.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effectExecutor executes effects on the control thread; must not block
	 * @param clock the clock
	 * @param tick creates a tick event
	 * @param tickMillis the interval between ticks, in milliseconds
	 * @return the running loop, never null
	 */
	public static <S> ControlLoop<S> start(S initial, Reducer<S> reducer, Consumer<Effect> effectExecutor,
			MonotonicClock clock, Supplier<Event> tick, long tickMillis) {
		return start(initial, reducer, effectExecutor, clock, tick, (state) -> tickMillis);
	}

	/**
	 * Starts a loop with ticks whose interval depends on the state.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effectExecutor executes effects on the control thread; must not block
	 * @param clock the clock
	 * @param tick creates a tick event
	 * @param tickMillis returns the interval between ticks for a state, in milliseconds;
	 * called after each event
	 * @return the running loop, never null
	 */
	public static <S> ControlLoop<S> start(S initial, Reducer<S> reducer, Consumer<Effect> effectExecutor,
			MonotonicClock clock, Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		ControlLoop<S> loop = prepare(initial, reducer, effectExecutor, clock, tick, tickMillis);
		loop.begin();
		return loop;
	}

	/**
	 * Creates a loop that does nothing until {@link #begin()} is called, so that the
	 * consumer of effects can refer to the loop.
	 * @param <S> the type of state
	 * @param initial the first state
	 * @param reducer the decision logic
	 * @param effectExecutor executes effects on the control thread; must not block
	 * @param clock the clock
	 * @param tick creates a tick event
	 * @param tickMillis returns the interval between ticks for a state, in milliseconds;
	 * called after each event
	 * @return the loop, never null
	 */
	public static <S> ControlLoop<S> prepare(S initial, Reducer<S> reducer, Consumer<Effect> effectExecutor,
			MonotonicClock clock, Supplier<Event> tick, ToLongFunction<S> tickMillis) {
		Objects.requireNonNull(initial, "initial must not be null");
		return new ControlLoop<>(initial, reducer, effectExecutor, clock, tick, tickMillis);
	}

	/**
	 * Starts the thread. Must be called only once.
	 */
	public void begin() {
		this.thread.start();
	}

	/**
	 * Adds an event to the queue and returns without waiting until it is reduced.
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

	/*
	 * An error, such as a stack that overflows, ends an event like an exception. It must
	 * not end the thread, without which the process runs on and follows nothing.
	 */
	private void reduce(Event event) {
		try {
			ReductionResult<S> result = this.reducer.reduce(this.state, this.clock.millis(), event);
			this.state = result.state();
			result.effects().forEach(this::execute);
		}
		catch (RuntimeException | Error ex) {
			logFailure(event, ex);
		}
	}

	/*
	 * An effect that fails must not keep the others of the same event, such as the next
	 * call to the registry, from being executed.
	 */
	private void execute(Effect effect) {
		try {
			this.effectExecutor.accept(effect);
		}
		catch (RuntimeException | Error ex) {
			logFailure(effect, ex);
		}
	}

	private static void logFailure(Object eventOrEffect, Throwable failure) {
		logger.atError()
			.addKeyValue("event", "control-event-failed")
			.addKeyValue("kind", eventOrEffect.getClass().getSimpleName())
			.setCause(failure)
			.log("failed to handle an event; report this as a defect and include this log line");
	}

	/**
	 * Stops the thread and discards events that have not been reduced. Waits up to 2 s
	 * for the thread to end.
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
