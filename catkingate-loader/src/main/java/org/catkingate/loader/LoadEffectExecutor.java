package org.catkingate.loader;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.loading.LoadEffect;
import org.catkingate.decisions.loading.LoadEvent;
import org.catkingate.model.Digest;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.staging.LocalRunner;
import org.catkingate.runtime.staging.OrderAnswer;
import org.catkingate.runtime.staging.RunnerReport;

/**
 * Carries out what is decided about the weights of one runner. Each effect ends in an
 * event. Safe for use by any thread; the work is done by the I/O thread.
 */
final class LoadEffectExecutor {

	private static final Logger logger = LoggerFactory.getLogger(LoadEffectExecutor.class);

	private final LocalRunner runner;

	private final PieceFetcher pieceFetcher;

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private final Consumer<LoadEvent> events;

	LoadEffectExecutor(LocalRunner runner, PieceFetcher pieces, XnioIoThread thread, MonotonicClock clock,
			Consumer<LoadEvent> events) {
		this.runner = runner;
		this.pieceFetcher = pieces;
		this.thread = thread;
		this.clock = clock;
		this.events = events;
	}

	void execute(Effect effect) {
		if (effect instanceof LoadEffect.ReportStep step) {
			logStep(step);
			return;
		}
		this.thread.execute(() -> {
			if (effect instanceof LoadEffect.AskDigests ask) {
				requestDigests(ask);
			}
			else if (effect instanceof LoadEffect.CheckStaged check) {
				checkStaged(check.digests());
			}
			else if (effect instanceof LoadEffect.FetchPiece fetch) {
				fetchPiece(fetch);
			}
			else if (effect instanceof LoadEffect.OrderLoad order) {
				commandLoad(order);
			}
		});
	}

	private void requestDigests(LoadEffect.AskDigests ask) {
		this.pieceFetcher.digests(ask.model(), ask.version()).whenComplete((digests, failure) -> {
			if (failure != null) {
				logFailure("digests-missing", ask.model() + "/" + ask.version(), failure);
				this.events.accept(new LoadEvent.DigestsFailed(ask.model(), ask.version()));
			}
			else {
				this.events.accept(new LoadEvent.DigestsArrived(digests));
			}
		});
	}

	private void checkStaged(PieceDigests version) {
		this.runner.staged(version.model()).whenComplete((held, failure) -> {
			if (failure != null) {
				logFailure("staged-unknown", version.model() + "/" + version.version(), failure);
				this.events.accept(new LoadEvent.Checked(version.model(), version.version(), Set.of()));
				return;
			}
			List<Integer> toRead = new ArrayList<>(held);
			toRead.removeIf((index) -> index < 0 || index >= version.digests().size());
			readBack(version, toRead, new HashSet<>());
		});
	}

	/*
	 * One piece after the other: the runner is on the same machine.
	 */
	private void readBack(PieceDigests version, List<Integer> toRead, Set<Integer> good) {
		if (toRead.isEmpty()) {
			this.events.accept(new LoadEvent.Checked(version.model(), version.version(), good));
			return;
		}
		int index = toRead.remove(toRead.size() - 1);
		this.runner.readStaged(version.model(), index).whenComplete((bytes, failure) -> {
			if (failure != null) {
				logFailure("staged-unreadable", "piece " + index, failure);
			}
			else if (Digest.of(bytes).equals(version.digests().get(index))) {
				good.add(index);
			}
			readBack(version, toRead, good);
		});
	}

	private void fetchPiece(LoadEffect.FetchPiece fetch) {
		PieceDigests version = fetch.digests();
		long startedAt = this.clock.millis();
		this.pieceFetcher.piece(version, fetch.index())
			.thenCompose((bytes) -> this.runner.stage(version.model(), fetch.index(), bytes))
			.whenComplete((staged, failure) -> {
				if (failure != null) {
					logFailure("piece-missing", "piece " + fetch.index(), failure);
				}
				this.events.accept(new LoadEvent.PieceEnded(version.model(), version.version(), fetch.index(),
						failure == null, this.clock.millis() - startedAt));
			});
	}

	private void commandLoad(LoadEffect.OrderLoad order) {
		this.runner.load(order.model(), order.version()).whenComplete((answer, failure) -> {
			if (failure != null) {
				logFailure("order-unanswered", order.model() + "/" + order.version(), failure);
			}
			logger.atInfo()
				.addKeyValue("event", "order-load")
				.addKeyValue("model", order.model())
				.addKeyValue("version", order.version())
				.addKeyValue("answer", answer)
				.log("the runner was ordered to load");
			// an order without an answer may have been accepted; the report tells
			this.events.accept(new LoadEvent.Ordered(order.model(), order.version(), answer != OrderAnswer.REFUSED));
		});
	}

	private static void logStep(LoadEffect.ReportStep step) {
		logger.atInfo()
			.addKeyValue("event", "weights")
			.addKeyValue("model", step.model())
			.addKeyValue("version", step.version())
			.addKeyValue("step", step.step())
			.addKeyValue("since-declared-ms", step.sinceDeclaredMillis())
			.addKeyValue("missing", step.missing())
			.log("a version has come one step further");
	}

	private static void logFailure(String event, String what, Throwable failure) {
		logger.atWarn()
			.addKeyValue("event", event)
			.addKeyValue("what", what)
			.addKeyValue("reason", failure.getMessage())
			.log("a step is tried again");
	}

	/**
	 * Asks the runner what it does.
	 * @return its report
	 */
	CompletableFuture<RunnerReport> requestReport() {
		return this.runner.report();
	}

}
