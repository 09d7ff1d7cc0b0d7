package org.catkingate.runtime.registry;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.registry.FollowEffect;
import org.catkingate.decisions.registry.FollowEvent;
import org.catkingate.decisions.registry.FollowReducer;
import org.catkingate.decisions.registry.FollowState;
import org.catkingate.decisions.registry.FollowTimes;
import org.catkingate.decisions.registry.Moment;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.RegistryItems;
import org.catkingate.runtime.ControlLoop;
import org.catkingate.runtime.MomentSource;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.platform.PlatformException;

/**
 * Keeps a process's view of a registry up to date, on a control thread of its own. The
 * view and the moment at which it was known to be the newest can be read by any thread.
 *
 * @since 0.1
 */
public final class RegistryFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RegistryFollower.class);

	/** How often waits and lapses are looked after, in milliseconds. */
	private static final long TICK_MILLIS = 100;

	private final Registry registry;

	private final MomentSource momentSource;

	private final Consumer<RegistryView> onChange;

	private final ControlLoop<FollowState> loop;

	private volatile RegistryView view = RegistryView.empty();

	private volatile Moment confirmedAt = Moment.NEVER;

	private RegistryFollower(Registry registry, FollowTimes times, long seed, MonotonicClock clock,
			MomentSource moments, Consumer<RegistryView> changed) {
		this.registry = registry;
		this.momentSource = moments;
		this.onChange = changed;
		this.loop = ControlLoop.prepare(FollowState.initial(times, seed), FollowReducer.create(), this::execute, clock,
				FollowEvent.Ticked::new, (state) -> TICK_MILLIS);
	}

	/**
	 * Prepares to follow a registry; nothing happens before {@link #begin()}.
	 * @param registry the registry
	 * @param times the times
	 * @param seed makes waits differ between processes
	 * @param clock the clock of waits
	 * @param moments the clocks of ages
	 * @param changed is given each new view, on the control thread, and must not block
	 * @return the follower, never null
	 */
	public static RegistryFollower of(Registry registry, FollowTimes times, long seed, MonotonicClock clock,
			MomentSource moments, Consumer<RegistryView> changed) {
		Objects.requireNonNull(registry, "registry must not be null");
		Objects.requireNonNull(times, "times must not be null");
		return new RegistryFollower(registry, times, seed, clock, moments, changed);
	}

	/**
	 * Starts to follow; to be called once.
	 */
	public void begin() {
		this.loop.begin();
	}

	/**
	 * Reads everything anew, for what is not watched.
	 */
	public void reread() {
		this.loop.submit(new FollowEvent.RereadDue());
	}

	/**
	 * Returns what is believed now.
	 * @return the view, never null
	 */
	public RegistryView view() {
		return this.view;
	}

	/**
	 * Shows the age of the view among a process's metrics.
	 * @param metrics the metrics
	 */
	public void measure(PrometheusRegistry metrics) {
		GaugeWithCallback.builder()
			.name("catkingate_registry_age_seconds")
			.help("For how long the view of the registry has not been confirmed")
			.callback((callback) -> callback.call(ageMillis() / 1000.0))
			.register(metrics);
	}

	/**
	 * Tells how old the view may be.
	 * @return the milliseconds since it was last known to be the newest;
	 * {@link Long#MAX_VALUE} if it never was
	 */
	public long ageMillis() {
		Moment at = this.confirmedAt;
		return at.equals(Moment.NEVER) ? Long.MAX_VALUE : at.ageMillis(this.momentSource.now());
	}

	private void execute(Effect effect) {
		if (effect instanceof FollowEffect.ReadPage page) {
			call(page.call(), this.registry.read(page.afterKey()),
					(askedAt, items) -> new FollowEvent.PageArrived(page.call(), askedAt, items));
		}
		else if (effect instanceof FollowEffect.Watch watch) {
			call(watch.call(), changes(watch),
					(askedAt, items) -> new FollowEvent.ChangesArrived(watch.call(), askedAt, items));
		}
		else if (effect instanceof FollowEffect.Publish published) {
			publish(published.view());
		}
		else if (effect instanceof FollowEffect.Confirm confirm) {
			this.confirmedAt = confirm.at();
		}
		else {
			logEffect(effect);
		}
	}

	private CompletableFuture<RegistryItems> changes(FollowEffect.Watch watch) {
		return watch.versionsOnly() ? this.registry.watchVersions(watch.afterRevision(), watch.waitMillis())
				: this.registry.watch(watch.afterRevision(), watch.waitMillis());
	}

	private void call(long call, CompletableFuture<RegistryItems> answer,
			BiFunction<Moment, RegistryItems, FollowEvent> arrived) {
		Moment askedAt = this.momentSource.now();
		answer.whenComplete((items, failure) -> this.loop
			.submit((failure != null) ? failed(call, failure) : arrived.apply(askedAt, items)));
	}

	private static Event failed(long call, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean historyGone = cause instanceof PlatformException known
				&& known.kind() == PlatformException.Kind.HISTORY_GONE;
		return new FollowEvent.CallFailed(call, historyGone, String.valueOf(cause.getMessage()));
	}

	private void publish(RegistryView next) {
		RegistryView before = this.view;
		this.view = next;
		RegistryChangeLogger.log(before, next);
		this.onChange.accept(next);
	}

	private static void logEffect(Effect effect) {
		if (effect instanceof FollowEffect.ContactLost lost) {
			logger.atWarn()
				.addKeyValue("event", "registry-lost")
				.addKeyValue("reason", lost.reason())
				.log("the registry gives no answer; what is known is used while it is young enough");
		}
		else if (effect instanceof FollowEffect.ContactRegained regained) {
			logger.atInfo()
				.addKeyValue("event", "registry-regained")
				.addKeyValue("away-ms", regained.awayMillis())
				.addKeyValue("failed-calls", regained.failures())
				.log("the registry answers again");
		}
		else if (effect instanceof FollowEffect.ReportUnreadable unreadable) {
			logger.atWarn()
				.addKeyValue("event", "registry-item-left-out")
				.addKeyValue("key", unreadable.key())
				.addKeyValue("reason", unreadable.reason())
				.log("an item of the registry is not used; correct it there");
		}
	}

	@Override
	public void close() {
		this.loop.close();
	}

}
