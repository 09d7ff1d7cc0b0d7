package org.catkingate.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.cost.CallCost;
import org.catkingate.decisions.cost.LengthEstimate;
import org.catkingate.decisions.cost.RunnerBacklog;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerWork}, {@link SentRequest} and {@link RequestCost}.
 */
class RunnerWorkTests {

	private static final CallCost COST = new CallCost(LengthEstimate.exactly(100), 80, 120);

	private static final byte[] TWO_EVENTS = "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n".getBytes();

	private final List<String> ends = new ArrayList<>();

	private final RunnerWork work = new RunnerWork();

	private RequestCost cost() {
		return new RequestCost(1000, Optional.of(COST), 5,
				(produced, complete) -> this.ends.add(produced + " " + complete));
	}

	private RunnerBacklog backlog(long nowMillis) {
		RegisteredRunner runner = new RegisteredRunner(new RunnerId("a"), 1, new ServiceName("songs"),
				new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 12, false, Map.of(), 0);
		return this.work
			.createOption(runner, Distance.DATA_CENTRE, new RunnerWork.Circumstances(900, 3, 60_000, Optional.of(COST)),
					false, nowMillis)
			.backlog()
			.orElseThrow();
	}

	// Guards against work that stays counted after it was done or its request has ended.
	@Test
	void ownRequestsCountWithWhatIsLeftOfThem() {
		SentRequest request = this.work.add(cost(), 1000);
		assertThat(backlog(1000).responseLength()).isEqualTo(100);
		request.startResponse(200);
		request.recordData(TWO_EVENTS);
		assertThat(backlog(1300).responseLength()).isEqualTo(90);
		request.end(true, 1400);
		assertThat(backlog(1400).responseLength()).isZero();
		assertThat(this.ends).containsExactly("10.0 true");
	}

	// Guards against a gateway that counts on reports which no longer come, and one that
	// has just started and takes busy runners for idle ones.
	@Test
	void requestsOfOthersCountWhileReportsAreRecent() {
		this.work.recordLoad(new RunnerLoad(3, 2, OptionalDouble.of(1)), 1000);
		assertThat(backlog(1200)).isEqualTo(new RunnerBacklog(3 * 120 + 2 * 80, 1, 0, 200));
		assertThat(backlog(2600)).isEqualTo(new RunnerBacklog(0, 1, 0, Long.MAX_VALUE));
	}

	// Guards against wrong figures of a runner that make it look idle or blocked.
	@Test
	void impossibleFiguresAreIgnored() {
		for (double wrong : new double[] { Double.NaN, -1, 0, 1e9, Double.POSITIVE_INFINITY }) {
			this.work.recordResponseLoad(new RunnerLoad(-5, -5, OptionalDouble.of(wrong)), 1000);
		}
		assertThat(backlog(1000)).isEqualTo(new RunnerBacklog(0, 1, 0, 0));
	}

	// Guards against a runner that counts as slow for as long as it gets no requests.
	@Test
	void aStatedSlowdownLosesItsEffect() {
		this.work.recordResponseLoad(new RunnerLoad(0, 0, OptionalDouble.of(3)), 1000);
		assertThat(backlog(1000).slowdown()).isEqualTo(3);
		assertThat(backlog(1300).slowdown()).isBetween(1.9, 2.2);
		assertThat(backlog(1700).slowdown()).isBetween(1.05, 1.15);
		assertThat(backlog(12_000).slowdown()).isEqualTo(1);
	}

	// Guards against a resumed stream that teaches a short length for each of its parts.
	@Test
	void aResumedStreamIsOneResponse() {
		RequestCost cost = cost();
		SentRequest first = this.work.add(cost, 1000);
		first.startResponse(200);
		first.recordData(TWO_EVENTS);
		first.recordData("id: 3\nda".getBytes());
		first.end(false, 1300);
		SentRequest second = this.work.add(cost, 1400);
		assertThat(second.promptTokens()).isEqualTo(1010);
		second.startResponse(200);
		second.recordData(TWO_EVENTS);
		second.end(true, 1700);
		cost.end();
		assertThat(this.ends).containsExactly("20.0 true");
	}

	// Guards against cancelled responses that count as short ones.
	@Test
	void aCancelledResponseIsRecordedAsCut() {
		RequestCost cost = cost();
		SentRequest request = this.work.add(cost, 1000);
		request.startResponse(200);
		request.recordData(TWO_EVENTS);
		request.end(false, 1300);
		cost.end();
		assertThat(this.ends).containsExactly("10.0 false");
	}

}
