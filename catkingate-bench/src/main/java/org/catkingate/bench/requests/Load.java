package org.catkingate.bench.requests;

import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;

/**
 * An open load: calls begin at a steady rate, whatever becomes of earlier ones. Its
 * results may be read once it has ended.
 */
final class Load {

	private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();

	private final LoadCaller caller;

	private final LoadPlan plan;

	private final SplittableRandom random;

	private double seconds;

	Load(LoadCaller caller, LoadPlan plan) {
		this.caller = caller;
		this.plan = plan;
		this.random = new SplittableRandom(plan.seed());
	}

	/**
	 * Runs the load and waits until every call has ended.
	 * @return this load
	 * @throws InterruptedException if the waiting is interrupted
	 */
	Load run() throws InterruptedException {
		long start = System.nanoTime();
		int count = (int) (this.plan.callsPerSecond() * this.plan.seconds());
		for (int i = 0; i < count; i++) {
			waitUntil(start + (long) (i / this.plan.callsPerSecond() * NANOS_PER_SECOND));
			begin(i);
		}
		this.seconds = (System.nanoTime() - start) / (double) NANOS_PER_SECOND;
		long patience = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.plan.timeoutMillis() + 5000);
		while (this.results.size() < count && System.nanoTime() < patience) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		return this;
	}

	private static void waitUntil(long nanos) {
		long left = nanos - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = nanos - System.nanoTime();
		}
	}

	private void begin(int number) {
		String body = "{\"prompt\":\"" + this.plan.seed() + "-" + number + "\",\"max_tokens\":" + this.plan.tokens()
				+ ",\"stream\":true}";
		boolean leaves = this.random.nextInt(100) < this.plan.leavePercent();
		long leaveAfter = (leaves) ? 1 + this.random.nextLong(this.plan.leaveWithinMillis()) : 0;
		this.caller.call(body, this.plan.timeoutMillis(), leaveAfter, this.results::add);
	}

	double seconds() {
		return this.seconds;
	}

	long good() {
		return this.results.stream().filter(CallResult::isGood).count();
	}

	long refused() {
		return this.results.stream().filter(CallResult::isRefused).count();
	}

	long broken() {
		return this.results.stream().filter((result) -> !result.whole() && !result.left()).count();
	}

	long tokens() {
		return this.results.stream().mapToLong(CallResult::tokens).sum();
	}

	double goodPerSecond() {
		return good() / this.seconds;
	}

	double firstByteMillis(double percentile) {
		return millis(percentile,
				this.results.stream()
					.filter((result) -> result.isGood() && result.firstByteNanos() > 0)
					.mapToLong(CallResult::firstByteNanos)
					.toArray());
	}

	double totalMillis(double percentile) {
		return millis(percentile,
				this.results.stream().filter(CallResult::isGood).mapToLong(CallResult::totalNanos).toArray());
	}

	double refusalMillis(double percentile) {
		return millis(percentile,
				this.results.stream().filter(CallResult::isRefused).mapToLong(CallResult::totalNanos).toArray());
	}

	private static double millis(double percentile, long[] nanos) {
		Histogram histogram = new Histogram(3);
		for (long value : nanos) {
			histogram.recordValue(value);
		}
		return histogram.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

}
