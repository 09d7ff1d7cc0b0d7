package org.catkingate.gateway;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the decision whether a response continues a stream.
 */
class StreamProgressTests {

	private static ClientResponse head(int status, String contentType) {
		HeaderMap headers = new HeaderMap();
		if (contentType != null) {
			headers.put(Headers.CONTENT_TYPE, contentType);
		}
		return new ClientResponse(status, "", Protocols.HTTP_1_1, headers);
	}

	private static StreamProgress started(long... ids) {
		StreamProgress progress = new StreamProgress();
		progress.start(head(200, "text/event-stream; charset=utf-8"));
		for (long id : ids) {
			assertThat(progress.place(id)).isTrue();
		}
		return progress;
	}

	private static StreamProgress continuedAfter(long... ids) {
		StreamProgress progress = started(ids);
		assertThat(progress.acceptContinuation(head(200, "text/event-stream"))).isTrue();
		return progress;
	}

	@Nested
	class TheHeadOfAContinuation {

		@Test
		void hasTheStatusAndTheContentTypeOfTheStartedStream() {
			assertThat(started(1).acceptContinuation(head(200, "Text/Event-Stream"))).isTrue();
		}

		// Guards against a failure whose body ends the caller's stream as complete.
		@Test
		void hasNoOtherStatus() {
			for (int status : new int[] { 201, 204, 206, 302, 404, 500, 503 }) {
				assertThat(started(1).acceptContinuation(head(status, "text/event-stream"))).as("%d", status).isFalse();
			}
		}

		@Test
		void hasNoOtherContentType() {
			StreamProgress progress = started(1);
			assertThat(progress.acceptContinuation(head(200, "application/json"))).isFalse();
			assertThat(progress.acceptContinuation(head(200, null))).isFalse();
		}

		// Guards against a runner that starts from the beginning, since it cannot be told
		// what the caller has received.
		@Test
		void isNotAcceptedAfterAnEventWithoutAnId() {
			StreamProgress progress = started(1);
			assertThat(progress.place(null)).isTrue();
			assertThat(progress.canBeResumed()).isFalse();
			assertThat(progress.acceptContinuation(head(200, "text/event-stream"))).isFalse();
		}

	}

	@Nested
	class AnEventOfAContinuation {

		// Guards against joining the events of two runs.
		@Test
		void isNotOneThatWasForwardedBefore() {
			assertThat(continuedAfter(1, 2).place(1L)).isFalse();
			assertThat(continuedAfter(1, 2).place(2L)).isFalse();
			assertThat(continuedAfter(1, 2).place(3L)).isTrue();
		}

		@Test
		void doesNotContinueAStreamWithConsecutiveIdsAfterAGap() {
			assertThat(continuedAfter(1, 2).place(4L)).isFalse();
		}

		@Test
		void hasTheStepOfTheIdsBefore() {
			assertThat(continuedAfter(10, 20).place(30L)).isTrue();
			assertThat(continuedAfter(10, 20).place(21L)).isFalse();
		}

		@Test
		void hasTheNextIdWhileTheStepIsUnknown() {
			assertThat(continuedAfter(1).place(2L)).isTrue();
			assertThat(continuedAfter(1).place(4L)).isFalse();
		}

		@Test
		void mayHaveAnyHigherIdIfTheStepVaries() {
			assertThat(continuedAfter(1, 2, 5).place(9L)).isTrue();
		}

		@Test
		void hasAnId() {
			assertThat(continuedAfter(1).place(null)).isFalse();
		}

	}

	@Nested
	class AnEventOfTheSameRunner {

		// Guards against events that are lost because their ids do not increase.
		@Test
		void isForwardedWhateverItsIdIsAndEndsResumption() {
			StreamProgress progress = started(5);
			assertThat(progress.place(5L)).isTrue();
			assertThat(progress.place(2L)).isTrue();
			assertThat(progress.place(6L)).isTrue();
			assertThat(progress.canBeResumed()).isFalse();
		}

	}

}
