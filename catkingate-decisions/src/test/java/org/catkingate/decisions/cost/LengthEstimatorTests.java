package org.catkingate.decisions.cost;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link LengthEstimator}.
 */
class LengthEstimatorTests {

	private static final double STATED_MEAN = 100;

	private final LengthEstimator estimator = new LengthEstimator();

	private final Random random = new Random(20261204);

	private static RequestFeatures request(String account, long hint, long promptTokens) {
		return new RequestFeatures("triage", account, hint, promptTokens);
	}

	private LengthEstimate estimate(RequestFeatures features) {
		return this.estimator.estimate(features, STATED_MEAN, 0);
	}

	private double logNormal(double median, double spread) {
		return median * Math.exp(spread * this.random.nextGaussian());
	}

	// Guards against a gateway that has just started and treats all requests as free.
	@Test
	void withoutEvidenceStatesTheMeanBoundedByTheCallersMaximum() {
		assertThat(estimate(request("a", 0, 500)).mean()).isCloseTo(STATED_MEAN, within(5.0));
		LengthEstimate bounded = this.estimator.estimate(request("a", 0, 500), STATED_MEAN, 30);
		assertThat(bounded.upper()).isEqualTo(30);
		assertThat(bounded.mean()).isLessThan(30);
	}

	// Guards against the estimate of one request deciding on its whole group.
	@Test
	void littleEvidenceMovesTheEstimateOnlyALittle() {
		this.estimator.record(request("a", 0, 500), 4000, STATED_MEAN);
		assertThat(estimate(request("a", 0, 500)).median()).isLessThan(90);
	}

	// Guards against a hint that is ignored although it is right at the median, and
	// against features that say nothing.
	@Test
	void usesTheFeatureThatPredictsTheLengths() {
		for (int i = 0; i < 4000; i++) {
			long hint = (long) logNormal(60, 1);
			this.estimator.record(request("account-" + i % 24, hint, 400 + this.random.nextInt(400)),
					logNormal(hint, 0.7), STATED_MEAN);
		}
		assertThat(estimate(request("account-1", 20, 500)).median()).isBetween(14.0, 28.0);
		assertThat(estimate(request("account-1", 200, 500)).median()).isBetween(140.0, 280.0);
		assertThat(estimate(request("account-1", 60, 500)).upper()).isBetween(105.0, 210.0);
	}

	// Guards against an estimate that stays wrong after the requests of a route change.
	@Test
	void forgetsOldEvidence() {
		for (int i = 0; i < 5000; i++) {
			this.estimator.record(request("a", 0, 500), 20, STATED_MEAN);
		}
		for (int i = 0; i < 1500; i++) {
			this.estimator.record(request("a", 0, 500), 300, STATED_MEAN);
		}
		assertThat(estimate(request("a", 0, 500)).median()).isCloseTo(300, within(30.0));
	}

	// Guards against cancelled requests that make all responses look short.
	@Test
	void countsACutResponseAsAtLeastAsLongAsWhatItHad() {
		for (int i = 0; i < 2000; i++) {
			double length = logNormal(80, 0.8);
			double cutAt = this.random.nextBoolean() ? logNormal(40, 0.5) : Double.MAX_VALUE;
			if (cutAt < length) {
				this.estimator.recordCut(request("a", 0, 500), cutAt, STATED_MEAN);
			}
			else {
				this.estimator.record(request("a", 0, 500), length, STATED_MEAN);
			}
		}
		assertThat(estimate(request("a", 0, 500)).median()).isBetween(68.0, 96.0);
	}

	// Guards against long responses that count as nearly complete from their mean on.
	@Test
	void expectsMoreOfAResponseThatIsLongAlready() {
		for (int i = 0; i < 2000; i++) {
			this.estimator.record(request("a", 0, 500), logNormal(80, 1.2), STATED_MEAN);
		}
		LengthEstimate estimate = estimate(request("a", 0, 500));
		assertThat(estimate.remaining(400)).isGreaterThan(estimate.remaining(20));
		assertThat(estimate.remaining(1_000_000)).isPositive();
	}

	// Guards against unbounded memory, with accounts and hints that never come again.
	@Test
	void keepsABoundedNumberOfGroups() {
		for (int i = 0; i < 5000; i++) {
			this.estimator.record(request("account-" + i, i, i), 10, STATED_MEAN);
		}
		assertThat(this.estimator.groupCount()).isEqualTo(1024);
	}

}
