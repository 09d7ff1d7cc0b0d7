package org.catkingate.tests;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.scrubbers.RegExScrubber;
import org.approvaltests.scrubbers.Scrubbers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.faults.TestFleet;
import org.catkingate.tests.harness.Answer;
import org.catkingate.tests.harness.Caller;

/**
 * One whole session as callers see it, kept as a golden file.
 */
class SessionTests {

	private static final long PATIENCE_SECONDS = 60;

	@TempDir
	private Path directory;

	private final StringBuilder transcript = new StringBuilder();

	private void tell(String what, Answer answer) {
		this.transcript.append("== ").append(what).append("\nstatus ").append(answer.status()).append('\n');
		answer.digest().ifPresent((digest) -> this.transcript.append("X-Weights-Digest: ").append(digest).append('\n'));
		answer.retryAfter().ifPresent((wait) -> this.transcript.append("Retry-After: ").append(wait).append('\n'));
		answer.outcome()
			.ifPresent((outcome) -> this.transcript.append("X-Catkingate-Outcome: ").append(outcome).append('\n'));
		this.transcript.append(answer.body().stripTrailing()).append("\n\n");
	}

	@Test
	void aSessionLooksAsItDid() throws Exception {
		try (TestFleet fleet = TestFleet.serving(this.directory)) {
			Caller first = fleet.callers().get(0);
			Caller second = fleet.callers().get(1);
			tell("a completion by the first version", first.complete("a garba song", 3).join());
			fleet.changeVersion();
			fleet.awaitServing();
			tell("the same completion by the second version", second.complete("a garba song", 3).join());
			tell("a lookup", first.lookUp("song-7").join());
			String key = first.issuedKey().get(PATIENCE_SECONDS, TimeUnit.SECONDS).orElseThrow();
			tell("a purchase", first.purchase(key, "a licence").join());
			tell("its repeat at the other entry", second.purchase(key, "a licence").join());
			tell("another purchase with the same key", second.purchase(key, "another licence").join());
			tell("a key that is unknown", Caller.of(fleet.entries().get(0), "wrong").lookUp("song-7").join());
			tell("a call that no rule names", first.get("/nowhere").join());
		}
		Approvals.verify(this.transcript.toString(),
				new Options(Scrubbers.scrubAll(new RegExScrubber("ckt1~[A-Za-z0-9~._-]+", "(issued key)"),
						new RegExScrubber("\"[0-9a-f]{32}\"", "\"(request id)\""),
						new RegExScrubber("\"purchase\":\\d+", "\"purchase\":(number)"))));
	}

}
