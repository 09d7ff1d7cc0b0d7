package org.catkingate.wire;

import java.util.Collections;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.RequestId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RunnerStart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link MessageCodec}.
 */
class MessageCodecTests {

	private static final RequestId REQUEST = new RequestId(-1L, 42L);

	private static Message roundTrip(Message message) throws WireException {
		return MessageCodec.decode(MessageCodec.encode(message));
	}

	@Nested
	class RoundTripsKeepAllFields {

		@Test
		void ofHeartbeats() throws WireException {
			Message heartbeat = new ControlMessage.Heartbeat(7, 3, List.of(1, 2));
			assertThat(roundTrip(heartbeat)).isEqualTo(heartbeat);
		}

		@Test
		void ofStatusWithAbsentVersion() throws WireException {
			Message status = new ControlMessage.AgentStatus(true, Labels.none(),
					List.of(new RunnerStatus(new RunnerId("r1"), new ServiceName("s"), null, null, true),
							new RunnerStatus(new RunnerId("r2"), new ServiceName("s"), VersionId.of("m", "1"),
									Digest.of(new byte[1]), false)));
			assertThat(roundTrip(status)).isEqualTo(status);
		}

		@Test
		void ofConfigurationVersions() throws WireException {
			Message announcement = new ControlMessage.ConfigurationAnnouncement(ConfigurationVersion.none());
			assertThat(roundTrip(announcement)).isEqualTo(announcement);
		}

		@Test
		void ofDispatches() throws WireException {
			RequestMessage.Dispatch dispatch = new RequestMessage.Dispatch(REQUEST, 1, 2, new AccountName("a"),
					new ServiceName("s"), new RunnerId("r"), null, 9, true, null, "POST", "/x?y",
					List.of(new RequestMessage.Header("n", "v")), new byte[] { 1, 2 });
			assertThat(roundTrip(dispatch)).usingRecursiveComparison().isEqualTo(dispatch);
		}

		@Test
		void ofViewResponses() throws WireException {
			Message response = new IdempotencyKeyMessage.StatementResponse(new ServiceName("s"), 7, "127.0.0.1", 70, 2,
					1L << 40, List.of(new IdempotencyKeyMessage.ServiceView(-1, 12),
							new IdempotencyKeyMessage.ServiceView(Long.MIN_VALUE, 0)));
			assertThat(roundTrip(response)).isEqualTo(response);
		}

		@Test
		void ofReportsOnPartsOfPrompts() throws WireException {
			Message reports = new PromptMessage.PartReports(List.of(new PartReport("5c1e07a2", true, List
				.of(new PartReport.RunnerEndReport(new RunnerStart(new RunnerId("i-1"), 1L << 40), 250, 3, false)))));
			assertThat(roundTrip(reports)).isEqualTo(reports);
		}

		@Test
		void ofLimitsPermitsAndGateways() throws WireException {
			RunnerStart runner = new RunnerStart(new RunnerId("i-1"), 1L << 40);
			for (Message message : List.of(
					new LimitMessage.LimitReports(List.of(new LimitReport(runner, 1.3, 250, 20),
							new LimitReport(runner, Double.POSITIVE_INFINITY, 250, 20))),
					new LimitMessage.PermitRequest(runner, 3, -5), new LimitMessage.PermitGrant(runner, 1, -5, 4),
					new LimitMessage.PermitReturn(runner, 2),
					new GatewayMessage.KnownGateways(List.of("gateway-1", "gateway-2"), true))) {
				assertThat(roundTrip(message)).isEqualTo(message);
			}
		}

		// an unknown or misread kind closes the connection over which pieces arrive
		@Test
		void ofStatementsOnPendingRequestsAndReportsWithReadyTimes() throws WireException {
			for (Message message : List.of(new WeightsMessage.RequestsPending(List.of("m/3", "ab"), List.of("m/3")),
					new RunnerMessage.RunnerUpdate("127.0.0.1:1", 1L << 40, false, 1, 2, Map.of("m", 3L), 450))) {
				assertThat(roundTrip(message)).isEqualTo(message);
			}
		}

		@Test
		void ofIssueKeyResponses() throws WireException {
			Message issued = new IdempotencyKeyMessage.IssueKeyResponse(REQUEST, "ckt1~a~1", 900_000);
			assertThat(roundTrip(issued)).isEqualTo(issued);
		}

		@Test
		void ofResponseData() throws WireException {
			RequestMessage.ResponseData data = new RequestMessage.ResponseData(REQUEST, 1L << 40, new byte[] { 0, -1 });
			assertThat(roundTrip(data)).usingRecursiveComparison().isEqualTo(data);
		}

	}

	@Nested
	class LimitsAndPermits {

		@Test
		void areBounded() {
			RunnerStart runner = new RunnerStart(new RunnerId("i-1"), 1);
			LimitReport report = new LimitReport(runner, 1, 0, 0);
			assertThatIllegalArgumentException().isThrownBy(() -> new LimitMessage.LimitReports(
					Collections.nCopies(LimitMessage.LimitReports.MAX_REPORTS + 1, report)));
			assertThatIllegalArgumentException().isThrownBy(() -> new LimitReport(runner, Double.NaN, 0, 0));
			assertThatIllegalArgumentException().isThrownBy(() -> new LimitReport(runner, 1, 0, 1));
			assertThatIllegalArgumentException().isThrownBy(() -> new LimitMessage.PermitRequest(runner, 0, 0));
			assertThatIllegalArgumentException()
				.isThrownBy(() -> new LimitMessage.PermitReturn(runner, LimitMessage.MAX_PERMITS + 1));
		}

	}

	@Nested
	class ReportsOnPartsOfPrompts {

		@Test
		void areLimitedInNumberAndLength() {
			PartReport report = new PartReport("a", false, List.of());
			assertThatIllegalArgumentException().isThrownBy(() -> new PromptMessage.PartReports(
					Collections.nCopies(PromptMessage.PartReports.MAX_REPORTS + 1, report)));
			assertThatIllegalArgumentException()
				.isThrownBy(() -> new PartReport("a".repeat(PartReport.MAX_PART_LENGTH + 1), false, List.of()));
		}

	}

	@Nested
	class MalformedBytes {

		@Test
		void ofUnknownKindAreRejected() {
			assertThatExceptionOfType(WireException.class).isThrownBy(() -> MessageCodec.decode(new byte[] { 100 }))
				.satisfies((ex) -> assertThat(ex.kind()).isEqualTo(WireException.Kind.MALFORMED));
		}

		@Test
		void thatAnnounceTooLongBinariesAreRejectedBeforeAllocation() {
			byte[] bytes = { 9, 0, 0, 0, (byte) 0xc6, 0x7f, -1, -1, -1 };
			assertThatExceptionOfType(WireException.class).isThrownBy(() -> MessageCodec.decode(bytes));
		}

		@Test
		void thatAreTruncatedAreRejected() {
			byte[] complete = MessageCodec.encode(new ControlMessage.Heartbeat(7, 3, List.of(1, 2)));
			byte[] truncated = java.util.Arrays.copyOf(complete, complete.length - 2);
			assertThatExceptionOfType(WireException.class).isThrownBy(() -> MessageCodec.decode(truncated));
		}

	}

}
