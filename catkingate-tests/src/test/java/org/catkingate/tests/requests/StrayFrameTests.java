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
import org.catkingate.wire.RequestMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that frames reach only the request they belong to, in whatever order they arrive,
 * and that an attempt is retried only if that is safe.
 */
class StrayFrameTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private LocalFleet fleet;

	private ScriptedAgent agent;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.agent = new ScriptedAgent("ahd-9");
		this.fleet.addScriptedAgent(this.agent.view());
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

	private RequestId awaitDispatch() throws InterruptedException {
		return this.agent.awaitMessage(RequestMessage.Dispatch.class).request();
	}

	private static HttpResponse<String> get(CompletableFuture<HttpResponse<String>> response) throws Exception {
		return response.get(20, TimeUnit.SECONDS);
	}

	@Nested
	class AResponse {

		@Test
		void isCompleteAlthoughFramesAreDuplicated() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = awaitDispatch();
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			agent.sendData(id, 2, "cde");
			agent.sendEnd(id, 5);
			assertThat(get(response).body()).isEqualTo("abcde");
			assertThat(agent.awaitMessage(RequestMessage.ResponseProgress.class).offset()).isEqualTo(5);
		}

		@Test
		void isRequestedAgainFromTheFirstMissingByte() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = awaitDispatch();
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			agent.sendData(id, 6, "ghi");
			RequestMessage.Attach attach = agent.awaitMessage(RequestMessage.Attach.class);
			assertThat(attach.offset()).isEqualTo(3);
			assertThat(attach.headReceived()).isTrue();
			agent.sendData(id, 3, "def");
			agent.sendData(id, 6, "ghi");
			agent.sendEnd(id, 9);
			assertThat(get(response).body()).isEqualTo("abcdefghi");
		}

		@Test
		void containsNothingOfAnotherRequest() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<String>> first = lookUp();
			RequestId firstId = awaitDispatch();
			CompletableFuture<HttpResponse<String>> second = lookUp();
			RequestId secondId = awaitDispatch();
			RequestId unknownId = new RequestId(1, 2);
			agent.sendHead(unknownId);
			agent.sendData(unknownId, 0, "stray");
			agent.sendHead(secondId);
			agent.sendHead(firstId);
			agent.sendData(secondId, 0, "second");
			agent.sendData(firstId, 0, "first");
			agent.sendEnd(firstId, 5);
			agent.sendEnd(secondId, 6);
			agent.sendData(firstId, 5, "late");
			assertThat(get(first).body()).isEqualTo("first");
			assertThat(get(second).body()).isEqualTo("second");
		}

		@Test
		void whoseEndContradictsItsLengthIsAborted() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<InputStream>> response = StrayFrameTests.this.client.sendAsync(
					StrayFrameTests.this.fleet.request("/lookups/1").build(),
					HttpResponse.BodyHandlers.ofInputStream());
			RequestId id = awaitDispatch();
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			InputStream body = response.get(20, TimeUnit.SECONDS).body();
			assertThat(body.readNBytes(3)).isEqualTo(EngineFixtures.bytes("abc"));
			agent.sendEnd(id, 2);
			assertThatExceptionOfType(IOException.class).isThrownBy(body::read);
		}

		@Test
		void whoseEndContradictsItsLengthBeforeAnyOfItIsWrittenIsReplacedByAFailureOrAborted() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = purchase();
			RequestId id = awaitDispatch();
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			agent.sendEnd(id, 2);
			try {
				assertThat(get(response).statusCode()).isEqualTo(502);
			}
			catch (ExecutionException ex) {
				assertThat(ex).hasCauseInstanceOf(IOException.class);
			}
		}

		@Test
		void thatFailsAfterItsStartIsAborted() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<InputStream>> response = StrayFrameTests.this.client.sendAsync(
					StrayFrameTests.this.fleet.request("/lookups/1").build(),
					HttpResponse.BodyHandlers.ofInputStream());
			RequestId id = awaitDispatch();
			agent.sendHead(id);
			agent.sendData(id, 0, "abc");
			InputStream body = response.get(20, TimeUnit.SECONDS).body();
			assertThat(body.readNBytes(3)).isEqualTo(EngineFixtures.bytes("abc"));
			agent.sendFailure(id, RequestMessage.FailureReason.FAILED);
			assertThatExceptionOfType(IOException.class).isThrownBy(body::read);
		}

		@Test
		void thatFailsBeforeAnyOfItIsWrittenIsReplacedByAFailure() throws Exception {
			ScriptedAgent agent = StrayFrameTests.this.agent;
			CompletableFuture<HttpResponse<String>> response = purchase();
			RequestId id = awaitDispatch();
			agent.sendFailure(id, RequestMessage.FailureReason.FAILED);
			agent.sendHead(id);
			assertThat(get(response).statusCode()).isEqualTo(502);
		}

		// Guards against sending the caller a part of a response as if it were complete
		// when its failure arrives together with its head.
		@Test
		void whoseHeadAndFailureArriveTogetherIsReplacedByAFailure() throws Exception {
			StrayFrameTests test = StrayFrameTests.this;
			BlockingRouting routing = new BlockingRouting();
			test.fleet.close();
			test.fleet = LocalFleet.startOnOneThread(routing);
			test.fleet.addScriptedAgent(test.agent.view());
			CompletableFuture<HttpResponse<String>> response = lookUp();
			RequestId id = awaitDispatch();
			routing.block();
			CompletableFuture<HttpResponse<String>> blockingLookup = lookUp();
			routing.awaitBlocked();
			long receivedBefore = test.fleet.adapter().receivedMessageCount();
			test.agent.sendHead(id);
			test.agent.sendData(id, 0, "abc");
			test.agent.sendFailure(id, RequestMessage.FailureReason.FAILED);
			Awaitility.await()
				.atMost(LocalFleet.TIMEOUT)
				.until(() -> test.fleet.adapter().receivedMessageCount() == receivedBefore + 3);
			routing.release();
			assertThat(get(response).statusCode()).isEqualTo(502);
			assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"").doesNotContain("abc");
			RequestId blockingLookupId = awaitDispatch();
			test.agent.sendHead(blockingLookupId);
			test.agent.sendEnd(blockingLookupId, 0);
			assertThat(get(blockingLookup).statusCode()).isEqualTo(200);
		}

	}

	@Nested
	class ARetry {

		@Test
		void goesToAnotherRunnerUnderAnotherRequestId() throws Exception {
			StrayFrameTests test = StrayFrameTests.this;
			try (ScriptedAgent otherAgent = new ScriptedAgent("ahd-8")) {
				test.fleet.addScriptedAgent(otherAgent.view());
				CompletableFuture<HttpResponse<String>> response = purchase();
				ScriptedAgent[] inOrder = awaitDispatchOrder(test.agent, otherAgent);
				RequestId first = inOrder[0].awaitMessage(RequestMessage.Dispatch.class).request();
				inOrder[0].sendFailure(first, RequestMessage.FailureReason.NOT_RUN);
				RequestId second = inOrder[1].awaitMessage(RequestMessage.Dispatch.class).request();
				assertThat(second).isNotEqualTo(first);
				inOrder[0].sendHead(first);
				inOrder[0].sendData(first, 0, "late");
				inOrder[1].sendHead(second);
				inOrder[1].sendData(second, 0, "right");
				inOrder[1].sendEnd(second, 5);
				assertThat(get(response).body()).isEqualTo("right");
			}
		}

		@Test
		void isNotMadeForAPurchaseThatMayHaveRun() throws Exception {
			StrayFrameTests test = StrayFrameTests.this;
			try (ScriptedAgent otherAgent = new ScriptedAgent("ahd-8")) {
				test.fleet.addScriptedAgent(otherAgent.view());
				CompletableFuture<HttpResponse<String>> response = purchase();
				ScriptedAgent[] inOrder = awaitDispatchOrder(test.agent, otherAgent);
				RequestId first = inOrder[0].awaitMessage(RequestMessage.Dispatch.class).request();
				inOrder[0].sendFailure(first, RequestMessage.FailureReason.FAILED);
				assertThat(get(response).statusCode()).isEqualTo(502);
				assertThat(get(response).headers().firstValue("X-Catkingate-Outcome")).hasValue("unknown");
				assertThat(inOrder[1].hasReceivedNothing()).isTrue();
			}
		}

		@Test
		void thatIsRejectedDoesNotReportTheRequestAsNotRun() throws Exception {
			StrayFrameTests test = StrayFrameTests.this;
			try (ScriptedAgent otherAgent = new ScriptedAgent("ahd-8")) {
				test.fleet.addScriptedAgent(otherAgent.view());
				CompletableFuture<HttpResponse<String>> response = lookUp();
				ScriptedAgent[] inOrder = awaitDispatchOrder(test.agent, otherAgent);
				inOrder[0].sendFailure(inOrder[0].awaitMessage(RequestMessage.Dispatch.class).request(),
						RequestMessage.FailureReason.FAILED);
				inOrder[1].sendFailure(inOrder[1].awaitMessage(RequestMessage.Dispatch.class).request(),
						RequestMessage.FailureReason.NOT_RUN);
				assertThat(get(response).statusCode()).isEqualTo(502);
				assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"");
			}
		}

		@Test
		void withoutAnotherRunnerDoesNotReportTheRequestAsNotRun() throws Exception {
			CompletableFuture<HttpResponse<String>> response = lookUp();
			StrayFrameTests.this.agent.sendFailure(awaitDispatch(), RequestMessage.FailureReason.FAILED);
			assertThat(get(response).statusCode()).isEqualTo(502);
			assertThat(get(response).body()).contains("\"kind\":\"runner-failed\"");
		}

		@Test
		void isMadeForALookupWhoseRunnerFailed() throws Exception {
			StrayFrameTests test = StrayFrameTests.this;
			try (ScriptedAgent otherAgent = new ScriptedAgent("ahd-8")) {
				test.fleet.addScriptedAgent(otherAgent.view());
				CompletableFuture<HttpResponse<String>> response = lookUp();
				ScriptedAgent[] inOrder = awaitDispatchOrder(test.agent, otherAgent);
				inOrder[0].sendFailure(inOrder[0].awaitMessage(RequestMessage.Dispatch.class).request(),
						RequestMessage.FailureReason.FAILED);
				RequestId second = inOrder[1].awaitMessage(RequestMessage.Dispatch.class).request();
				inOrder[1].sendHead(second);
				inOrder[1].sendEnd(second, 0);
				assertThat(get(response).statusCode()).isEqualTo(200);
			}
		}

		private ScriptedAgent[] awaitDispatchOrder(ScriptedAgent first, ScriptedAgent second)
				throws InterruptedException {
			while (first.hasReceivedNothing() && second.hasReceivedNothing()) {
				TimeUnit.MILLISECONDS.sleep(5);
			}
			return (second.hasReceivedNothing()) ? new ScriptedAgent[] { first, second }
					: new ScriptedAgent[] { second, first };
		}

	}

	/**
	 * A routing policy that chooses any runner, but blocks the entry's thread when a test
	 * requests it.
	 */
	private static final class BlockingRouting implements RoutingPolicy {

		private final CountDownLatch blocked = new CountDownLatch(1);

		private final CountDownLatch released = new CountDownLatch(1);

		private volatile boolean blocking;

		void block() {
			this.blocking = true;
		}

		void awaitBlocked() throws InterruptedException {
			assertThat(this.blocked.await(20, TimeUnit.SECONDS)).isTrue();
		}

		void release() {
			this.released.countDown();
		}

		@Override
		public Optional<Candidate> choose(RouteQuery query) {
			if (this.blocking) {
				this.blocked.countDown();
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
