package org.catkingate.decisions.prompts;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RunnerStart;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptQuarantine}.
 */
class PromptQuarantineTests {

	private static final ServiceName SERVICE = new ServiceName("model");

	private static final int RUNNERS = 20;

	private static final long LONG_MILLIS = 125_000;

	private final PromptQuarantine quarantine = PromptQuarantine.create();

	private long now = 1_000_000;

	private int ended;

	private static RunnerEnd.AffectedRequest request(RequestProgress progress, String... parts) {
		return new RunnerEnd.AffectedRequest("r", List.of(parts), progress);
	}

	private void endRunners(int count, RunnerEnd.AffectedRequest... requests) {
		for (int i = 0; i < count; i++) {
			this.quarantine.recordEnd(new RunnerEnd(new RunnerStart(new RunnerId("i-" + this.ended++), 7), SERVICE,
					RUNNERS, List.of(requests), this.now));
		}
		this.now += PromptQuarantine.SETTLING_MILLIS;
		this.quarantine.settle(this.now);
		this.now += 500;
	}

	private PromptVerdict.Kind verdict(String... parts) {
		return this.quarantine.verdict(List.of(parts), this.now).kind();
	}

	@Nested
	class AnEndOfARunner {

		@Test
		void makesThePartSuspectedThatHadJustBegun() {
			endRunners(1, request(RequestProgress.STARTED, "a"), request(RequestProgress.QUEUED, "b"));
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.SUSPECTED);
			assertThat(verdict("b")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		@Test
		void doesNotBlamePartsOfARequestThatWasBeingWritten() {
			endRunners(1, request(RequestProgress.STARTED, "shared", "a"), request(RequestProgress.WRITING, "shared"));
			assertThat(verdict("shared")).isEqualTo(PromptVerdict.Kind.HARMLESS);
			assertThat(verdict("shared", "a")).isEqualTo(PromptVerdict.Kind.SUSPECTED);
		}

		@Test
		void blamesNothingIfManyRunnersEndTogether() {
			for (int i = 0; i < 5; i++) {
				endRunners(5, request(RequestProgress.STARTED, "a"));
			}
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		@Test
		void countsOnceHoweverOftenItIsReported() {
			endRunners(1, request(RequestProgress.STARTED, "a"));
			List<PartReport> reports = PromptQuarantineTests.this.quarantine.snapshot(PromptQuarantineTests.this.now);
			for (int i = 0; i < 10; i++) {
				PromptQuarantineTests.this.quarantine.merge(reports, PromptQuarantineTests.this.now);
			}
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.SUSPECTED);
			assertThat(PromptQuarantineTests.this.quarantine.takeChanges(0)).hasSize(1);
			assertThat(PromptQuarantineTests.this.quarantine.takeChanges(0)).isEmpty();
		}

		@Test
		void isForgottenAfterLong() {
			endRunners(1, request(RequestProgress.STARTED, "a"));
			PromptQuarantineTests.this.now += LONG_MILLIS;
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

	}

	@Nested
	class APartIsQuarantined {

		@Test
		void afterTwoRunnersThatHadJustBegunToWriteOnIt() {
			endRunners(1, request(RequestProgress.STARTED, "a"));
			endRunners(1, request(RequestProgress.STARTED, "a"));
			assertThat(verdict("a", "b")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("b")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		@Test
		void afterThreeRunnersIfNoResponseHadBegun() {
			endRunners(1, request(RequestProgress.QUEUED, "a"));
			endRunners(1, request(RequestProgress.QUEUED, "a"));
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.SUSPECTED);
			endRunners(1, request(RequestProgress.QUEUED, "a"));
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		@Test
		void afterFourIfItWasHarmlessBefore() {
			PromptQuarantineTests.this.quarantine.recordWriting(List.of("a"), PromptQuarantineTests.this.now++);
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "a"));
			}
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.SUSPECTED);
			endRunners(1, request(RequestProgress.STARTED, "a"));
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		@Test
		void untilARunnerContinuesToWriteOnIt() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "a"));
			}
			PromptQuarantineTests.this.quarantine.recordWriting(List.of("a"), PromptQuarantineTests.this.now);
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		@Test
		void untilATrialIsDueAndForLongerIfTheTrialEndsARunner() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "a"));
			}
			PromptQuarantineTests.this.now += LONG_MILLIS;
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.TRIAL_DUE);
			PromptQuarantineTests.this.quarantine.startTrial("a", "r", PromptQuarantineTests.this.now);
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			endRunners(1, request(RequestProgress.STARTED, "a"));
			PromptQuarantineTests.this.now += LONG_MILLIS;
			assertThat(verdict("a")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

	}

	@Nested
	class AWholeRequest {

		private static final String REQUEST = "#0123";

		private static final long HOUR_MILLIS = 3_600_000;

		private RunnerEnd.AffectedRequest request(RequestProgress progress) {
			return PromptQuarantineTests.request(progress, "shared", REQUEST);
		}

		// Guards against requests without a prompt of which nothing is learned, and
		// against
		// ends of all runners of a small service at one moment that count once.
		@Test
		void isQuarantinedAfterThreeRunnersThatHadItAtOneMoment() {
			endRunners(2, PromptQuarantineTests.request(RequestProgress.QUEUED, REQUEST),
					PromptQuarantineTests.request(RequestProgress.QUEUED, "#other"));
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.SUSPECTED);
			endRunners(1, PromptQuarantineTests.request(RequestProgress.QUEUED, REQUEST),
					PromptQuarantineTests.request(RequestProgress.QUEUED, "#third"));
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("#other")).isEqualTo(PromptVerdict.Kind.HARMLESS);
			assertThat(verdict("#third")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		@Test
		void isBlamedIfSeveralOfManyRunnersThatEndTogetherHadIt() {
			endRunners(5, PromptQuarantineTests.request(RequestProgress.QUEUED, REQUEST, "shared"));
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("shared")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

		// Guards against rejecting sound requests that share a part with it (BUDGET).
		@Test
		void explainsEndsBetterThanAPartThatSoundRequestsHave() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED));
			}
			assertThat(verdict("shared", REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("shared", "#other")).isNotEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		// Guards against the same if other gateways, which had only a sound request at
		// these runners, blame the part more (BUDGET).
		@Test
		void explainsEndsBetterThanAPartThatOtherGatewaysBlameMore() {
			for (int i = 0; i < 4; i++) {
				RunnerStart runner = new RunnerStart(new RunnerId("i-" + i), 7);
				PromptQuarantineTests.this.now += 1000;
				PromptQuarantineTests.this.quarantine.merge(
						List.of(report(runner, "shared", 2), report(runner, REQUEST, 1)),
						PromptQuarantineTests.this.now);
			}
			assertThat(verdict("shared", REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("shared", "#other")).isNotEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		private PartReport report(RunnerStart runner, String part, int weight) {
			return new PartReport(part, false, List.of(new PartReport.RunnerEndReport(runner, 0, weight, false)));
		}

		// Guards against one further end of a runner at each trial, as long as the fleet
		// runs (BUDGET).
		@Test
		void isTriedOnceAfterThreeEndsAndNeverAfterFour() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.QUEUED));
			}
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			PromptQuarantineTests.this.now += HOUR_MILLIS;
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.TRIAL_DUE);
			PromptQuarantineTests.this.quarantine.startTrial(REQUEST, "r", PromptQuarantineTests.this.now);
			endRunners(1, request(RequestProgress.STARTED));
			for (int i = 0; i < 100; i++) {
				PromptQuarantineTests.this.now += HOUR_MILLIS;
				assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			}
		}

		@Test
		void isTriedByOneGatewayOnly() {
			PromptVerdict due = new PromptVerdict(PromptVerdict.Kind.TRIAL_DUE, REQUEST, -HOUR_MILLIS);
			assertThat(due.isTrialOf(0)).isTrue();
			assertThat(due.isTrialOf(1)).isFalse();
		}

		@Test
		void isRememberedIfItComesAgainAfterLong() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.QUEUED));
				PromptQuarantineTests.this.now += LONG_MILLIS;
			}
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		@Test
		void isClearedByARunToItsEnd() {
			endRunners(1, request(RequestProgress.QUEUED));
			endRunners(1, request(RequestProgress.QUEUED));
			PromptQuarantineTests.this.quarantine.recordWriting(List.of("shared", REQUEST),
					PromptQuarantineTests.this.now);
			assertThat(verdict(REQUEST)).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

	}

	@Nested
	class ATrial {

		// Guards against sound requests that are rejected for long since the one that
		// would have cleared their part found no runner.
		@Test
		void canBeStartedAgainIfItsRequestWasNotSent() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "shared", "bad"));
			}
			PromptQuarantineTests.this.quarantine.startTrial("shared", "r", PromptQuarantineTests.this.now);
			assertThat(verdict("shared", "other")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			PromptQuarantineTests.this.quarantine.cancelTrial("shared");
			assertThat(verdict("shared", "other")).isEqualTo(PromptVerdict.Kind.TRIAL_DUE);
		}

	}

	@Nested
	class PartsThatNothingTellsApart {

		// Guards against rejecting the sound requests that share a part with those that
		// crash runners, if none of them had been served before.
		@Test
		void areTriedOneByOneByRequestsThatHaveOnlyOneOfThem() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "shared", "bad"));
			}
			assertThat(verdict("shared", "bad")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			assertThat(verdict("shared", "other")).isEqualTo(PromptVerdict.Kind.TRIAL_DUE);
			PromptQuarantineTests.this.quarantine.startTrial("shared", "r", PromptQuarantineTests.this.now);
			assertThat(verdict("shared", "other")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			PromptQuarantineTests.this.quarantine.recordWriting(List.of("shared", "other"),
					PromptQuarantineTests.this.now);
			assertThat(verdict("shared", "other")).isEqualTo(PromptVerdict.Kind.HARMLESS);
			assertThat(verdict("bad", "other")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

	}

	@Nested
	class Reports {

		// Guards against gateways that disagree since reports arrived in another order.
		@Test
		void giveTheSameVerdictInAnyOrder() {
			List<PartReport> reports = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				RunnerStart runner = new RunnerStart(new RunnerId("i-" + i), i);
				reports.add(new PartReport("a", i == 4,
						List.of(new PartReport.RunnerEndReport(runner, 1000L * i, 1 + i % 3, i == 5))));
			}
			for (int seed = 0; seed < 100; seed++) {
				Collections.shuffle(reports, new Random(seed));
				PromptQuarantine other = PromptQuarantine.create();
				for (PartReport report : reports) {
					other.merge(List.of(report), PromptQuarantineTests.this.now);
				}
				assertThat(other.verdict(List.of("a"), PromptQuarantineTests.this.now).kind()).as("seed " + seed)
					.isEqualTo(PromptVerdict.Kind.QUARANTINED);
			}
		}

		@Test
		void bringAGatewayToTheSameVerdict() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "a"));
			}
			PromptQuarantine other = PromptQuarantine.create();
			other.merge(PromptQuarantineTests.this.quarantine.snapshot(PromptQuarantineTests.this.now), 5);
			assertThat(other.verdict(List.of("a"), 5).kind()).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

	}

	@Nested
	class TheMemory {

		// Guards against a quarantine that new parts displace where the clock is
		// negative.
		@Test
		void keepsQuarantinesWhateverTheOriginOfTheClock() {
			PromptQuarantineTests.this.now = -1_000_000;
			endRunners(1, request(RequestProgress.STARTED, "bad"));
			endRunners(1, request(RequestProgress.STARTED, "bad"));
			assertThat(verdict("bad")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
			String[] parts = IntStream.range(0, 600).mapToObj((id) -> "part-" + id).toArray(String[]::new);
			endRunners(1, request(RequestProgress.QUEUED, parts));
			assertThat(verdict("bad")).isEqualTo(PromptVerdict.Kind.QUARANTINED);
		}

		// Guards against a caller that displaces what is known by naming many parts.
		@Test
		void isBoundedAndKeepsQuarantinesAndPartsInGeneralUse() {
			for (int i = 0; i < 3; i++) {
				endRunners(1, request(RequestProgress.STARTED, "bad"));
				PromptQuarantineTests.this.quarantine.recordWriting(List.of("popular"),
						PromptQuarantineTests.this.now++);
			}
			for (int i = 0; i < 100_000; i++) {
				PromptQuarantineTests.this.quarantine.recordWriting(List.of("new" + i), PromptQuarantineTests.this.now);
			}
			for (int i = 0; i < 1000; i++) {
				endRunners(1, request(RequestProgress.STARTED, "x" + i, "y" + i));
			}
			assertThat(PromptQuarantineTests.this.quarantine.size()).isLessThan(10_000);
			assertThat(verdict("bad")).isNotIn(PromptVerdict.Kind.HARMLESS, PromptVerdict.Kind.SUSPECTED);
			endRunners(1, request(RequestProgress.STARTED, "popular"));
			assertThat(verdict("popular")).isEqualTo(PromptVerdict.Kind.HARMLESS);
		}

	}

}
