package org.catkingate.standins;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TokenBucket}.
 */
class TokenBucketTests {

	private final AtomicLong now = new AtomicLong(TimeUnit.HOURS.toNanos(1));

	private final TokenBucket bucket = new TokenBucket(() -> 1000, this.now::get);

	@Test
	void takenAmountDelaysTheNextCall() {
		this.bucket.take(500);
		assertThat(this.bucket.take(1)).isEqualTo(500);
	}

	@Test
	void elapsedTimeRefillsTheBucket() {
		this.bucket.take(500);
		this.now.addAndGet(TimeUnit.SECONDS.toNanos(1));
		assertThat(this.bucket.take(1)).isZero();
	}

	@Test
	void idleTimeDoesNotAllowALargerBurst() {
		this.now.addAndGet(TimeUnit.HOURS.toNanos(1));
		this.bucket.take(1000);
		assertThat(this.bucket.take(1)).isGreaterThanOrEqualTo(900);
	}

	@Test
	void rateOfZeroMeansNoLimit() {
		TokenBucket unlimited = new TokenBucket(() -> 0, this.now::get);
		unlimited.take(Long.MAX_VALUE);
		assertThat(unlimited.take(1)).isZero();
	}

}
