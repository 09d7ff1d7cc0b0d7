package org.catkingate.tests;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.scrubbers.RegExScrubber;
import org.approvaltests.scrubbers.Scrubbers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.Response;

/**
 * Tests that a complete session, as callers see it, matches an approved transcript.
 */
class SessionTests {

	private static final long TIMEOUT_SECONDS = 60;

	@TempDir
	private Path directory;

	private final StringBuilder transcript = new StringBuilder();

	private void append(String heading, Response response) {
		this.transcript.append("== ").append(heading).append("\nstatus ").append(response.status()).append('\n');
		response.digest()
			.ifPresent((digest) -> this.transcript.append("X-Weights-Digest: ").append(digest).append('\n'));
		response.retryAfter().ifPresent((wait) -> this.transcript.append("Retry-After: ").append(wait).append('\n'));
		response.outcome()
			.ifPresent((outcome) -> this.transcript.append("X-Catkingate-Outcome: ").append(outcome).append('\n'));
		this.transcript.append(response.body().stripTrailing()).append("\n\n");
	}

	@Test
	void aSessionMatchesTheApprovedTranscript() throws Exception {
		try (ServingFleet fleet = ServingFleet.start(this.directory)) {
			Caller first = fleet.callers().get(0);
			Caller second = fleet.callers().get(1);
			append("a completion by the first version", first.requestCompletion("a garba song", 3).join());
			fleet.publishNextVersion();
			fleet.awaitServing();
			append("the same completion by the second version", second.requestCompletion("a garba song", 3).join());
			append("a lookup", first.lookUp("song-7").join());
			String key = first.requestIdempotencyKey().get(TIMEOUT_SECONDS, TimeUnit.SECONDS).orElseThrow();
			append("a purchase", first.purchase(key, "a licence").join());
			append("its retry at the other entry", second.purchase(key, "a licence").join());
			append("another purchase with the same key", second.purchase(key, "another licence").join());
			append("a call with an unknown key", Caller.of(fleet.entries().get(0), "wrong").lookUp("song-7").join());
			append("a call without a routing rule", first.get("/nowhere").join());
		}
		Approvals.verify(this.transcript.toString(),
				new Options(Scrubbers.scrubAll(new RegExScrubber("ckt1~[A-Za-z0-9~._-]+", "(issued key)"),
						new RegExScrubber("\"[0-9a-f]{32}\"", "\"(request id)\""),
						new RegExScrubber("\"purchase\":\\d+", "\"purchase\":(number)"))));
	}

}
