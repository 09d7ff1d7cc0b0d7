package org.catkingate.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;

/**
 * One run of the soak: a fleet, callers, a schedule of faults and a judge. Not
 * thread-safe.
 */
final class Soak implements AutoCloseable {

	private static final int FAULT_THREADS = 16;

	private static final long HEARTBEAT_MILLIS = 1200;

	/** The time that callers go on after the last recovery, in milliseconds. */
	private static final long CALM_MILLIS = 3000;

	/** The maximum size of the heap of a gateway in the deploy file. */
	private static final long MAX_HEAP_BYTES = 64L * 1024 * 1024;

	/** Upper bound for the last recovery, in seconds. */
	private static final long RECOVERY_LIMIT_SECONDS = 60;

	private final SoakClock clock = SoakClock.system();

	private final Judge judge = new Judge();

	private final List<Throwable> failures = new CopyOnWriteArrayList<>();

	private final ScheduledThreadPoolExecutor faultExecutor = new ScheduledThreadPoolExecutor(FAULT_THREADS);

	/** Ends the processes if this JVM is terminated. */
	private final Thread shutdownHook = new Thread(this::closeFleet, "soak-shutdown");

	private final SoakProfile profile;

	private final SoakFleet.Size size;

	private final SoakFleet fleet;

	private Soak(SoakProfile profile, SoakFleet.Size size, Path directory) throws IOException {
		this.profile = profile;
		this.size = size;
		this.fleet = SoakFleet.start(profile, size, directory, this.judge, this.clock);
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Starts the fleet of a run.
	 */
	static Soak start(SoakProfile profile, SoakFleet.Size size, Path directory) throws IOException {
		return new Soak(profile, size, directory);
	}

	/**
	 * Runs the schedule of a seed, recovers from all faults and stops the callers.
	 */
	void run(long seed, long durationMillis) throws InterruptedException {
		FaultSchedule schedule = FaultSchedule.of(this.profile, seed, durationMillis);
		this.faultExecutor.scheduleAtFixedRate(
				() -> this.fleet.runners().forEach((runner) -> runSafely(runner::register)), HEARTBEAT_MILLIS,
				HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		CountDownLatch recoveries = new CountDownLatch(schedule.steps().size());
		SoakCallers callers = SoakCallers.start(this.size.callers(), this.profile, this.fleet, this.judge, this.clock,
				new SplittableRandom(seed));
		try {
			schedule.steps()
				.forEach((step) -> this.faultExecutor.schedule(() -> inject(step, recoveries), step.startMillis(),
						TimeUnit.MILLISECONDS));
			if (!recoveries.await(durationMillis / 1000 + RECOVERY_LIMIT_SECONDS, TimeUnit.SECONDS)) {
				this.failures.add(new IllegalStateException(recoveries.getCount() + " faults have not ended in time"));
			}
			awaitServing();
			Thread.sleep(CALM_MILLIS);
		}
		finally {
			callers.close();
		}
		measureHeaps();
	}

	private void measureHeaps() {
		for (SoakProcess gateway : this.fleet.gateways()) {
			try {
				gateway.usedHeapBytes()
					.ifPresent((bytes) -> this.judge.heapMeasured(gateway.boot(), bytes, MAX_HEAP_BYTES));
			}
			catch (IOException ex) {
				this.failures.add(ex);
			}
		}
	}

	private void inject(FaultSchedule.Step step, CountDownLatch recoveries) {
		System.out.println(this.clock.millis() + " ms: " + step);
		try {
			SoakFault.Recovery recovery = step.fault().inject(this, new SplittableRandom(step.seed()));
			this.faultExecutor.schedule(() -> {
				runSafely(recovery);
				recoveries.countDown();
			}, step.durationMillis(), TimeUnit.MILLISECONDS);
		}
		catch (Exception ex) {
			this.failures.add(ex);
			recoveries.countDown();
		}
	}

	private void runSafely(SoakFault.Recovery action) {
		try {
			action.recover();
		}
		catch (Exception ex) {
			this.failures.add(ex);
		}
	}

	/*
	 * Waits until all gateways are ready again and the weights are loaded.
	 */
	private void awaitServing() {
		try {
			Awaitility.await("gateways ready and weights loaded after the last recovery")
				.atMost(Duration.ofSeconds(RECOVERY_LIMIT_SECONDS))
				.until(() -> this.fleet.gateways().stream().allMatch(SoakProcess::isReady)
						&& this.fleet.areWeightsLoaded());
		}
		catch (ConditionTimeoutException ex) {
			this.failures.add(ex);
		}
	}

	SoakFleet fleet() {
		return this.fleet;
	}

	Judge judge() {
		return this.judge;
	}

	long nowMillis() {
		return this.clock.millis();
	}

	/**
	 * Returns failures of the soak itself, such as a process that did not come back.
	 */
	List<Throwable> failures() {
		return this.failures;
	}

	@Override
	public void close() {
		Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		closeFleet();
	}

	private void closeFleet() {
		this.faultExecutor.shutdownNow();
		this.fleet.close();
	}

}
