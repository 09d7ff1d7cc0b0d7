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
import org.catkingate.runtime.staging.LoadCommandResponse;
import org.catkingate.runtime.staging.LocalRunner;
import org.catkingate.runtime.staging.RunnerReport;

/**
 * An executor of the effects of {@link LoadEffect} for one runner. Each effect except
 * {@link LoadEffect.ReportStep} results in one event. Safe for use by any thread; the
 * work is done by the I/O thread.
 */
final class LoadEffectExecutor {

	private static final Logger logger = LoggerFactory.getLogger(LoadEffectExecutor.class);

	private final LocalRunner runner;

	private final PieceFetcher pieceFetcher;

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private final Consumer<LoadEvent> events;

	LoadEffectExecutor(LocalRunner runner, PieceFetcher pieceFetcher, XnioIoThread thread, MonotonicClock clock,
			Consumer<LoadEvent> events) {
		this.runner = runner;
		this.pieceFetcher = pieceFetcher;
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
			if (effect instanceof LoadEffect.RequestDigests request) {
				requestDigests(request);
			}
			else if (effect instanceof LoadEffect.CheckStaged check) {
				checkStaged(check.digests());
			}
			else if (effect instanceof LoadEffect.FetchPiece fetch) {
				fetchPiece(fetch);
			}
			else if (effect instanceof LoadEffect.SendLoadCommand command) {
				sendLoadCommand(command);
			}
		});
	}

	private void requestDigests(LoadEffect.RequestDigests request) {
		this.pieceFetcher.digests(request.model(), request.version()).whenComplete((digests, failure) -> {
			if (failure != null) {
				logFailure("digests-missing", request.model() + "/" + request.version(), failure);
				this.events.accept(new LoadEvent.DigestsFailed(request.model(), request.version()));
			}
			else {
				this.events.accept(new LoadEvent.DigestsArrived(digests));
			}
		});
	}

	private void checkStaged(PieceDigests pieceDigests) {
		this.runner.listStaged(pieceDigests.model()).whenComplete((stagedPieces, failure) -> {
			if (failure != null) {
				logFailure("staged-unknown", pieceDigests.model() + "/" + pieceDigests.version(), failure);
				this.events
					.accept(new LoadEvent.StagedPiecesChecked(pieceDigests.model(), pieceDigests.version(), Set.of()));
				return;
			}
			List<Integer> unread = new ArrayList<>(stagedPieces);
			unread.removeIf((index) -> index < 0 || index >= pieceDigests.digests().size());
			readBack(pieceDigests, unread, new HashSet<>());
		});
	}

	/*
	 * Reads one piece after the other; since the runner is on the same machine, no
	 * concurrent reads are needed.
	 */
	private void readBack(PieceDigests pieceDigests, List<Integer> unread, Set<Integer> valid) {
		if (unread.isEmpty()) {
			this.events.accept(new LoadEvent.StagedPiecesChecked(pieceDigests.model(), pieceDigests.version(), valid));
			return;
		}
		int index = unread.remove(unread.size() - 1);
		this.runner.readStaged(pieceDigests.model(), index).whenComplete((bytes, failure) -> {
			if (failure != null) {
				logFailure("staged-unreadable", "piece " + index, failure);
			}
			else if (Digest.of(bytes).equals(pieceDigests.digests().get(index))) {
				valid.add(index);
			}
			readBack(pieceDigests, unread, valid);
		});
	}

	private void fetchPiece(LoadEffect.FetchPiece fetch) {
		PieceDigests pieceDigests = fetch.digests();
		long startedAt = this.clock.millis();
		this.pieceFetcher.piece(pieceDigests, fetch.index())
			.thenCompose((bytes) -> this.runner.stage(pieceDigests.model(), fetch.index(), bytes))
			.whenComplete((staged, failure) -> {
				if (failure != null) {
					logFailure("piece-missing", "piece " + fetch.index(), failure);
				}
				this.events.accept(new LoadEvent.PieceFetchEnded(pieceDigests.model(), pieceDigests.version(),
						fetch.index(), failure == null, this.clock.millis() - startedAt));
			});
	}

	private void sendLoadCommand(LoadEffect.SendLoadCommand command) {
		this.runner.load(command.model(), command.version()).whenComplete((response, failure) -> {
			if (failure != null) {
				logFailure("order-unanswered", command.model() + "/" + command.version(), failure);
			}
			logger.atInfo()
				.addKeyValue("event", "order-load")
				.addKeyValue("model", command.model())
				.addKeyValue("version", command.version())
				.addKeyValue("answer", response)
				.log("sent a load command to the runner");
			// a command without a response may have been accepted, which a later report
			// shows
			this.events.accept(new LoadEvent.LoadCommandResponded(command.model(), command.version(),
					response != LoadCommandResponse.REFUSED));
		});
	}

	private static void logStep(LoadEffect.ReportStep step) {
		logger.atInfo()
			.addKeyValue("event", "weights")
			.addKeyValue("model", step.model())
			.addKeyValue("version", step.version())
			.addKeyValue("step", step.step())
			.addKeyValue("since-declared-ms", step.sinceDeclaredMillis())
			.addKeyValue("missing", step.missingCount())
			.log("loading of a version has reached its next step");
	}

	private static void logFailure(String event, String subject, Throwable failure) {
		logger.atWarn()
			.addKeyValue("event", event)
			.addKeyValue("what", subject)
			.addKeyValue("reason", failure.getMessage())
			.log("a step of loading weights failed and will be retried");
	}

	/**
	 * Requests a report from the runner.
	 * @return the report
	 */
	CompletableFuture<RunnerReport> requestReport() {
		return this.runner.readReport();
	}

}
