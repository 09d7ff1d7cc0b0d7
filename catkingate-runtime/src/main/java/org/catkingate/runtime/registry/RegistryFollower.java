package org.catkingate.runtime.registry;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
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
import org.catkingate.decisions.registry.RegistryDelta;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.runtime.ControlLoop;
import org.catkingate.runtime.MomentSource;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.platform.PlatformException;

/**
 * A follower of a registry, which keeps the process's view of it up to date on a control
 * thread of its own. Any thread may read the view and its age.
 *
 * @since 0.1
 */
public final class RegistryFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RegistryFollower.class);

	/** The interval at which delays and timeouts are checked, in milliseconds. */
	private static final long TICK_MILLIS = 100;

	private final Registry registry;

	private final MomentSource momentSource;

	private final Consumer<RegistryView> onChange;

	private final Consumer<RegistryPosition> copyRequests;

	private final ControlLoop<FollowState> loop;

	private final AtomicLong restores = new AtomicLong();

	private volatile RegistryView view = RegistryView.empty();

	private volatile Moment confirmedAt = Moment.NEVER;

	private RegistryFollower(Registry registry, FollowTimes times, long seed, MonotonicClock clock,
			MomentSource momentSource, Consumer<RegistryView> onChange, Consumer<RegistryPosition> copyRequests) {
		this.registry = registry;
		this.momentSource = momentSource;
		this.onChange = onChange;
		this.copyRequests = copyRequests;
		this.loop = ControlLoop.prepare(FollowState.initial(times, seed), FollowReducer.create(), this::execute, clock,
				FollowEvent.Ticked::new, (state) -> TICK_MILLIS);
	}

	/**
	 * Creates a follower that does nothing until {@link #start()} is called.
	 * @param registry the registry
	 * @param times the delays and timeouts
	 * @param seed the seed of the random delays, which should differ between processes
	 * @param clock the clock for delays and timeouts
	 * @param momentSource the clocks by which the age of the view is measured
	 * @param onChange receives each new view on the control thread; must not block
	 * @param copyRequests receives the position of this process's copy when another
	 * process should be asked for its own, on the control thread; must not block
	 * @return the follower, never null
	 */
	public static RegistryFollower of(Registry registry, FollowTimes times, long seed, MonotonicClock clock,
			MomentSource momentSource, Consumer<RegistryView> onChange, Consumer<RegistryPosition> copyRequests) {
		Objects.requireNonNull(registry, "registry must not be null");
		Objects.requireNonNull(times, "times must not be null");
		return new RegistryFollower(registry, times, seed, clock, momentSource, onChange, copyRequests);
	}

	/**
	 * Starts to follow the registry. Must be called only once.
	 */
	public void start() {
		this.loop.begin();
	}

	/**
	 * Requests another read of all items, which also covers those that are not watched.
	 */
	public void reread() {
		this.loop.submit(new FollowEvent.RereadDue());
	}

	/**
	 * Returns the current view.
	 * @return the view, never null
	 */
	public RegistryView view() {
		return this.view;
	}

	/**
	 * Compares this process's copy of the registry with that of another process.
	 * @param after the position of the other copy
	 * @return the age of this process's copy and what the other lacks
	 */
	public AgedDelta compareWith(RegistryPosition after) {
		// the age is read first, so that the items are at least as new
		long ageMillis = ageMillis();
		return new AgedDelta(ageMillis, this.loop.state().deltaSince(after));
	}

	/**
	 * Receives the copy of another process.
	 * @param confirmedAt the time at which that copy was up to date
	 * @param received the difference, of whose items only key, revision and content are
	 * used
	 */
	public void receiveCopy(Moment confirmedAt, RegistryDelta received) {
		List<RegistryItem> changes = received.changes()
			.stream()
			.map((item) -> new RegistryItem(item.key(), item.revision(),
					this.registry.decode(item.key(), item.content()), item.content()))
			.toList();
		this.loop.submit(new FollowEvent.CopyReceived(confirmedAt,
				new RegistryDelta(received.after(), received.position(), received.keys(), changes)));
	}

	/**
	 * Registers metrics for the age of the view and the restores of the registry.
	 * @param metrics the metrics
	 */
	public void registerMetrics(PrometheusRegistry metrics) {
		GaugeWithCallback.builder()
			.name("catkingate_registry_age_seconds")
			.help("For how long the view of the registry has not been confirmed")
			.callback((callback) -> callback.call(ageMillis() / 1000.0))
			.register(metrics);
		CounterWithCallback.builder()
			.name("catkingate_registry_restores")
			.help("How often the registry was found restored from a copy")
			.callback((callback) -> callback.call(this.restores.get()))
			.register(metrics);
	}

	/**
	 * Returns the age of the view.
	 * @return the time since the view was last confirmed to be current, in milliseconds;
	 * {@link Long#MAX_VALUE} if it never was
	 */
	public long ageMillis() {
		Moment at = this.confirmedAt;
		return at.equals(Moment.NEVER) ? Long.MAX_VALUE : at.ageMillis(this.momentSource.now());
	}

	private void execute(Effect effect) {
		if (effect instanceof FollowEffect.ReadPage readPage) {
			call(readPage.call(), this.registry.read(readPage.afterKey()),
					(requestedAt, page) -> new FollowEvent.PageReceived(readPage.call(), requestedAt, page));
		}
		else if (effect instanceof FollowEffect.Watch watch) {
			call(watch.call(), changes(watch),
					(requestedAt, page) -> new FollowEvent.ChangesReceived(watch.call(), requestedAt, page));
		}
		else if (effect instanceof FollowEffect.Publish publish) {
			publish(publish.view());
		}
		else if (effect instanceof FollowEffect.Confirm confirm) {
			confirm(confirm.at());
		}
		else if (effect instanceof FollowEffect.RequestCopy request) {
			this.copyRequests.accept(request.after());
		}
		else {
			logEffect(effect);
		}
	}

	// A copy of another process may be older than what the registry has confirmed.
	private void confirm(Moment at) {
		Moment now = this.momentSource.now();
		if (at.ageMillis(now) < this.confirmedAt.ageMillis(now)) {
			this.confirmedAt = at;
		}
	}

	private CompletableFuture<RegistryPage> changes(FollowEffect.Watch watch) {
		return watch.versionsOnly() ? this.registry.watchVersions(watch.afterRevision(), watch.waitMillis())
				: this.registry.watch(watch.afterRevision(), watch.waitMillis());
	}

	private void call(long callNumber, CompletableFuture<RegistryPage> response,
			BiFunction<Moment, RegistryPage, FollowEvent> toEvent) {
		Moment requestedAt = this.momentSource.now();
		response.whenComplete((page, failure) -> this.loop
			.submit((failure != null) ? failed(callNumber, failure) : toEvent.apply(requestedAt, page)));
	}

	private static Event failed(long callNumber, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean historyGone = cause instanceof PlatformException platformException
				&& platformException.kind() == PlatformException.Kind.HISTORY_GONE;
		return new FollowEvent.CallFailed(callNumber, historyGone, String.valueOf(cause.getMessage()));
	}

	private void publish(RegistryView next) {
		RegistryView previous = this.view;
		this.view = next;
		this.onChange.accept(next);
		RegistryChangeLogger.log(previous, next);
	}

	private void logEffect(Effect effect) {
		if (effect instanceof FollowEffect.ReportUnavailable unavailable) {
			logger.atWarn()
				.addKeyValue("event", "registry-lost")
				.addKeyValue("reason", unavailable.reason())
				.log("the registry does not respond; using the last known view until it is too old");
		}
		else if (effect instanceof FollowEffect.ReportAvailable available) {
			logger.atInfo()
				.addKeyValue("event", "registry-regained")
				.addKeyValue("away-ms", available.outageMillis())
				.addKeyValue("failed-calls", available.failures())
				.log("the registry responds again");
		}
		else if (effect instanceof FollowEffect.ReportCopyUsed copy) {
			logger.atInfo()
				.addKeyValue("event", "registry-copy-used")
				.addKeyValue("era", copy.position().era())
				.addKeyValue("revision", copy.position().revision())
				.log("the registry does not confirm the view; another gateway does");
		}
		else if (effect instanceof FollowEffect.ReportRestored restored) {
			this.restores.incrementAndGet();
			logger.atWarn()
				.addKeyValue("event", "registry-restored")
				.addKeyValue("era-before", restored.before().era())
				.addKeyValue("revision-before", restored.before().revision())
				.addKeyValue("era", restored.after().era())
				.addKeyValue("revision", restored.after().revision())
				.addKeyValue("source", restored.byCopy() ? "gateway" : "registry")
				.addKeyValue("retained", restored.retained())
				.addKeyValue("missing-runners", restored.missing())
				.addKeyValue("age-ms", this.confirmedAt.equals(Moment.NEVER) ? "unknown" : ageMillis())
				.log("the registry was restored from a copy; what it lacks is kept until it is written again");
		}
		else if (effect instanceof FollowEffect.ReportUnusable unusable) {
			logger.atWarn()
				.addKeyValue("event", "registry-item-left-out")
				.addKeyValue("key", unusable.key())
				.addKeyValue("reason", unusable.reason())
				.log("ignoring an invalid item of the registry; correct it there");
		}
	}

	@Override
	public void close() {
		this.loop.close();
	}

	/**
	 * A difference between two copies of the registry. Immutable.
	 *
	 * @param ageMillis the time since the newer copy was confirmed, in milliseconds;
	 * {@link Long#MAX_VALUE} if it never was
	 * @param delta the difference
	 */
	public record AgedDelta(long ageMillis, RegistryDelta delta) {

	}

}
