package org.catkingate.bench.requests;

import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;

/**
 * One run of an open-loop load: calls start at a constant rate, regardless of the
 * progress of earlier ones. Results may be read after the run has ended.
 */
final class LoadRun {

	private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();

	private final LoadClient client;

	private final LoadPlan plan;

	private final SplittableRandom random;

	private double seconds;

	LoadRun(LoadClient client, LoadPlan plan) {
		this.client = client;
		this.plan = plan;
		this.random = new SplittableRandom(plan.seed());
	}

	/**
	 * Runs the load and waits until all calls have ended, but no longer than five seconds
	 * beyond the timeout of the last one.
	 * @return this run
	 * @throws InterruptedException if the waiting is interrupted
	 */
	LoadRun run() throws InterruptedException {
		long start = System.nanoTime();
		int count = (int) (this.plan.callsPerSecond() * this.plan.seconds());
		for (int i = 0; i < count; i++) {
			waitUntil(start + (long) (i / this.plan.callsPerSecond() * NANOS_PER_SECOND));
			startCall(i);
		}
		this.seconds = (System.nanoTime() - start) / (double) NANOS_PER_SECOND;
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.plan.timeoutMillis() + 5000);
		while (this.results.size() < count && System.nanoTime() < deadline) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		return this;
	}

	private static void waitUntil(long nanos) {
		long remainingNanos = nanos - System.nanoTime();
		while (remainingNanos > 0) {
			LockSupport.parkNanos(remainingNanos);
			remainingNanos = nanos - System.nanoTime();
		}
	}

	private void startCall(int number) {
		String body = "{\"prompt\":\"" + this.plan.seed() + "-" + number + "\",\"max_tokens\":" + this.plan.tokens()
				+ ",\"stream\":true}";
		boolean abandons = this.random.nextInt(100) < this.plan.abandonPercent();
		long abandonAfterMillis = (abandons) ? 1 + this.random.nextLong(this.plan.abandonWithinMillis()) : 0;
		this.client.call(body, this.plan.timeoutMillis(), abandonAfterMillis, this.results::add);
	}

	double seconds() {
		return this.seconds;
	}

	long successfulCalls() {
		return this.results.stream().filter(CallResult::isSuccessful).count();
	}

	long rejectedCalls() {
		return this.results.stream().filter(CallResult::isRejected).count();
	}

	long failedCalls() {
		return this.results.stream().filter((result) -> !result.complete() && !result.abandoned()).count();
	}

	long receivedTokens() {
		return this.results.stream().mapToLong(CallResult::tokens).sum();
	}

	double successfulCallsPerSecond() {
		return successfulCalls() / this.seconds;
	}

	double firstByteMillis(double percentile) {
		return percentileMillis(percentile,
				this.results.stream()
					.filter((result) -> result.isSuccessful() && result.firstByteNanos() > 0)
					.mapToLong(CallResult::firstByteNanos)
					.toArray());
	}

	double totalMillis(double percentile) {
		return percentileMillis(percentile,
				this.results.stream().filter(CallResult::isSuccessful).mapToLong(CallResult::totalNanos).toArray());
	}

	double rejectionMillis(double percentile) {
		return percentileMillis(percentile,
				this.results.stream().filter(CallResult::isRejected).mapToLong(CallResult::totalNanos).toArray());
	}

	private static double percentileMillis(double percentile, long[] nanos) {
		Histogram histogram = new Histogram(3);
		for (long value : nanos) {
			histogram.recordValue(value);
		}
		return histogram.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

}
