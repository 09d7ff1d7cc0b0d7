package org.catkingate.tests.requests;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.routing.Candidate;
import org.catkingate.decisions.routing.RouteQuery;
import org.catkingate.decisions.routing.RoutingPolicies;
import org.catkingate.decisions.routing.RoutingPolicy;
import org.catkingate.model.RequestId;
import org.catkingate.wire.Traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that frames reach their own request or nothing, whatever order they come in, and
 * that only harmless attempts are repeated.
 */
class StrayFramesTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private LocalFleet fleet;

	private ScriptedAgent agent;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.agent = new ScriptedAgent("ahd-9");
		this.fleet.addScripted(this.agent.view());
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.agent.close();
	}

	private CompletableFuture<HttpResponse<String>> lookUp() {
		return this.client.sendAsync(this.fleet.request("/lookups/1").build(), HttpResponse.BodyHandlers.ofString());
	}

	private CompletableFuture<HttpResponse<String>> purchase() {
		return this.client.sendAsync(
				this.fleet.request("/purchases").POST(HttpRequest.BodyPublishers.ofString("x")).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private RequestId dispatched() throws InterruptedException {
		return this.agent.expect(Traffic.Dispatch.class).request();
	}

	private static HttpResponse<String> get(CompletableFuture<HttpResponse<String>> response) throws Exception {
		return response.get(20, TimeUnit.SECONDS);
	}

	@Nested
	class AnAnswer {

		@Test
		void isWholeAlthoughPiecesComeTwice() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = dispatched();
			agent.head(id);
			agent.data(id, 0, "abc");
			agent.head(id);
			agent.data(id, 0, "abc");
			agent.data(id, 2, "cde");
			agent.end(id, 5);
			assertThat(get(response).body()).isEqualTo("abcde");
			assertThat(agent.expect(Traffic.AnswerProgress.class).offset()).isEqualTo(5);
		}

		@Test
		void isAskedForAgainFromWhereAPieceIsMissing() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = dispatched();
			agent.head(id);
			agent.data(id, 0, "abc");
			agent.data(id, 6, "ghi");
			Traffic.Attach attach = agent.expect(Traffic.Attach.class);
			assertThat(attach.offset()).isEqualTo(3);
			assertThat(attach.headReceived()).isTrue();
			agent.data(id, 3, "def");
			agent.data(id, 6, "ghi");
			agent.end(id, 9);
			assertThat(get(response).body()).isEqualTo("abcdefghi");
		}

		@Test
		void takesNothingOfAnotherRequest() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<String>> first = lookUp();
			RequestId firstId = dispatched();
			CompletableFuture<HttpResponse<String>> second = lookUp();
			RequestId secondId = dispatched();
			RequestId nobody = new RequestId(1, 2);
			agent.head(nobody);
			agent.data(nobody, 0, "stray");
			agent.head(secondId);
			agent.head(firstId);
			agent.data(secondId, 0, "second");
			agent.data(firstId, 0, "first");
			agent.end(firstId, 5);
			agent.end(secondId, 6);
			agent.data(firstId, 5, "late");
			assertThat(get(first).body()).isEqualTo("first");
			assertThat(get(second).body()).isEqualTo("second");
		}

		@Test
		void whoseEndContradictsItsBytesIsCut() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<InputStream>> response = StrayFramesTests.this.client.sendAsync(
					StrayFramesTests.this.fleet.request("/lookups/1").build(),
					HttpResponse.BodyHandlers.ofInputStream());
			RequestId id = dispatched();
			agent.head(id);
			agent.data(id, 0, "abc");
			InputStream body = response.get(20, TimeUnit.SECONDS).body();
			assertThat(body.readNBytes(3)).isEqualTo(Runs.bytes("abc"));
			agent.end(id, 2);
			assertThatExceptionOfType(IOException.class).isThrownBy(body::read);
		}

		@Test
		void whoseEndContradictsItsBytesBeforeAnyIsWrittenIsReplacedByAFailure() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = purchase();
			RequestId id = dispatched();
			agent.head(id);
			agent.data(id, 0, "abc");
			agent.end(id, 2);
			try {
				assertThat(get(response).statusCode()).isEqualTo(502);
			}
			catch (ExecutionException ex) {
				assertThat(ex).hasCauseInstanceOf(IOException.class);
			}
		}

		@Test
		void thatFailsInTheMiddleIsCut() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<InputStream>> response = StrayFramesTests.this.client.sendAsync(
					StrayFramesTests.this.fleet.request("/lookups/1").build(),
					HttpResponse.BodyHandlers.ofInputStream());
			RequestId id = dispatched();
			agent.head(id);
			agent.data(id, 0, "abc");
			InputStream body = response.get(20, TimeUnit.SECONDS).body();
			assertThat(body.readNBytes(3)).isEqualTo(Runs.bytes("abc"));
			agent.fail(id, Traffic.FailureReason.FAILED);
			assertThatExceptionOfType(IOException.class).isThrownBy(body::read);
		}

		@Test
		void thatFailsBeforeAnyOfItIsWrittenIsReplacedByAFailure() throws Exception {
			ScriptedAgent agent = StrayFramesTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = purchase();
			RequestId id = dispatched();
			agent.fail(id, Traffic.FailureReason.FAILED);
			agent.head(id);
			assertThat(get(response).statusCode()).isEqualTo(502);
		}

		// guards against telling the caller a part of an answer as if it were whole when
		// its failure comes together with its head
		@Test
		void whoseHeadAndFailureComeTogetherIsReplacedByAFailure() throws Exception {
			StrayFramesTests test = StrayFramesTests.this;
			HeldRouting routing = new HeldRouting();
			test.fleet.close();
			test.fleet = LocalFleet.startOnOneThread(routing);
			test.fleet.addScripted(test.agent.view());
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = dispatched();
			routing.hold();
			CompletableFuture<HttpResponse<String>> other = lookUp();
			routing.awaitHeld();
			long before = test.fleet.bridge().handed();
			test.agent.head(id);
			test.agent.data(id, 0, "abc");
			test.agent.fail(id, Traffic.FailureReason.FAILED);
			Awaitility.await().atMost(LocalFleet.PATIENCE).until(() -> test.fleet.bridge().handed() == before + 3);
			routing.release();
			assertThat(get(response).statusCode()).isEqualTo(502);
			assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"").doesNotContain("abc");
			RequestId otherId = dispatched();
			test.agent.head(otherId);
			test.agent.end(otherId, 0);
			assertThat(get(other).statusCode()).isEqualTo(200);
		}

	}

	@Nested
	class AFurtherAttempt {

		@Test
		void goesToAnotherRunnerUnderAnotherIdentity() throws Exception {
			StrayFramesTests test = StrayFramesTests.this;
			try (ScriptedAgent other = new ScriptedAgent("ahd-8")) {
				test.fleet.addScripted(other.view());
				CompletableFuture<HttpResponse<String>> response = purchase();
				ScriptedAgent[] order = inOrderOfDispatch(test.agent, other);
				RequestId first = order[0].expect(Traffic.Dispatch.class).request();
				order[0].fail(first, Traffic.FailureReason.NOT_RUN);
				RequestId second = order[1].expect(Traffic.Dispatch.class).request();
				assertThat(second).isNotEqualTo(first);
				order[0].head(first);
				order[0].data(first, 0, "late");
				order[1].head(second);
				order[1].data(second, 0, "right");
				order[1].end(second, 5);
				assertThat(get(response).body()).isEqualTo("right");
			}
		}

		@Test
		void isNotMadeForAPurchaseThatMayHaveRun() throws Exception {
			StrayFramesTests test = StrayFramesTests.this;
			try (ScriptedAgent other = new ScriptedAgent("ahd-8")) {
				test.fleet.addScripted(other.view());
				CompletableFuture<HttpResponse<String>> response = purchase();
				ScriptedAgent[] order = inOrderOfDispatch(test.agent, other);
				RequestId first = order[0].expect(Traffic.Dispatch.class).request();
				order[0].fail(first, Traffic.FailureReason.FAILED);
				assertThat(get(response).statusCode()).isEqualTo(502);
				assertThat(get(response).headers().firstValue("X-Catkingate-Outcome")).hasValue("unknown");
				assertThat(order[1].hasReceivedNothing()).isTrue();
			}
		}

		@Test
		void thatIsRefusedDoesNotMakeTheFirstOneNotRun() throws Exception {
			StrayFramesTests test = StrayFramesTests.this;
			try (ScriptedAgent other = new ScriptedAgent("ahd-8")) {
				test.fleet.addScripted(other.view());
				CompletableFuture<HttpResponse<String>> response = lookUp();
				ScriptedAgent[] order = inOrderOfDispatch(test.agent, other);
				order[0].fail(order[0].expect(Traffic.Dispatch.class).request(), Traffic.FailureReason.FAILED);
				order[1].fail(order[1].expect(Traffic.Dispatch.class).request(), Traffic.FailureReason.NOT_RUN);
				assertThat(get(response).statusCode()).isEqualTo(502);
				assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"");
			}
		}

		@Test
		void thatNobodyCanTakeDoesNotMakeTheFirstOneNotRun() throws Exception {
			CompletableFuture<HttpResponse<String>> response = lookUp();
			StrayFramesTests.this.agent.fail(dispatched(), Traffic.FailureReason.FAILED);
			assertThat(get(response).statusCode()).isEqualTo(502);
			assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"");
		}

		@Test
		void isMadeForALookUpWhoseRunnerFailed() throws Exception {
			StrayFramesTests test = StrayFramesTests.this;
			try (ScriptedAgent other = new ScriptedAgent("ahd-8")) {
				test.fleet.addScripted(other.view());
				CompletableFuture<HttpResponse<String>> response = lookUp();
				ScriptedAgent[] order = inOrderOfDispatch(test.agent, other);
				order[0].fail(order[0].expect(Traffic.Dispatch.class).request(), Traffic.FailureReason.FAILED);
				RequestId second = order[1].expect(Traffic.Dispatch.class).request();
				order[1].head(second);
				order[1].end(second, 0);
				assertThat(get(response).statusCode()).isEqualTo(200);
			}
		}

		private ScriptedAgent[] inOrderOfDispatch(ScriptedAgent one, ScriptedAgent other) throws InterruptedException {
			while (one.hasReceivedNothing() && other.hasReceivedNothing()) {
				TimeUnit.MILLISECONDS.sleep(5);
			}
			return (other.hasReceivedNothing()) ? new ScriptedAgent[] { one, other }
					: new ScriptedAgent[] { other, one };
		}

	}

	/**
	 * Chooses any runner, but holds up the entry's thread where a test wants it.
	 */
	private static final class HeldRouting implements RoutingPolicy {

		private final CountDownLatch held = new CountDownLatch(1);

		private final CountDownLatch released = new CountDownLatch(1);

		private volatile boolean holding;

		void hold() {
			this.holding = true;
		}

		void awaitHeld() throws InterruptedException {
			assertThat(this.held.await(20, TimeUnit.SECONDS)).isTrue();
		}

		void release() {
			this.released.countDown();
		}

		@Override
		public Optional<Candidate> choose(RouteQuery query) {
			if (this.holding) {
				this.held.countDown();
				try {
					this.released.await(20, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
			return RoutingPolicies.localThenLeastLoaded().choose(query);
		}

	}

}
