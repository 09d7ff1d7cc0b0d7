package org.catkingate.decisions.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.configuration.ConfigurationEffect;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.membership.MembershipEffect;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.published.ConfigurationBundle;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetReducer}.
 */
class FleetReducerTests {

	private static final int DATA_CENTRES = 7;

	private static final int INSTANCES = 340;

	private static final int CLOSE_READERS = 21;

	private final FleetReducer reducer = FleetReducer.create();

	private static List<InstanceRecord> fleet() {
		List<InstanceRecord> instances = new ArrayList<>();
		for (int i = 0; i < INSTANCES; i++) {
			int dataCentre = i % DATA_CENTRES;
			instances.add(new InstanceRecord(new InstanceId("i" + i), Role.AGENT,
					new InetSocketAddress("127.0.0.1", 7000 + i), new DataCentreName("dc-" + dataCentre),
					new RegionName("r" + dataCentre % 3), Labels.none(), false));
		}
		return instances;
	}

	private static ProcessIdentity self(InstanceRecord own) {
		return new ProcessIdentity(own.id(), own.role(), own.id().hashCode(), own.dataCentre(), own.region(),
				own.labels());
	}

	@Nested
	class CloseReaders {

		@Test
		void areThreeInEachDataCentre() {
			List<InstanceRecord> all = fleet();
			int closeReaders = 0;
			for (InstanceRecord own : all) {
				FleetState state = FleetState.starting(self(own), 1);
				state = FleetReducerTests.this.reducer.reduce(state, 2, new MembershipEvent.ListRead(1, all)).state();
				closeReaders += (state.readPace().pace() == ReadPace.CLOSE) ? 1 : 0;
			}
			assertThat(closeReaders).isEqualTo(CLOSE_READERS);
		}

		@Test
		void areAllProcessesWhileTheListIsUnknown() {
			FleetState state = FleetState.starting(self(fleet().get(0)), 1);
			state = FleetReducerTests.this.reducer.reduce(state, 2, new MembershipEvent.Ticked(List.of())).state();
			assertThat(state.readPace().pace()).isEqualTo(ReadPace.CLOSE);
		}

	}

	@Nested
	class ADownloadedConfiguration {

		@Test
		void isInTheSnapshotOnlyOnceItIsAdopted() {
			ConfigurationBundle bundle = ConfigurationBundle.of(5, List.of("[group g]\nselector = *\n"));
			FleetState state = FleetState.starting(self(fleet().get(0)), 1);
			List<ConfigurationEvent> events = new ArrayList<>();
			events.add(new ConfigurationEvent.HeadRead(1, bundle.head()));
			bundle.parts().forEach((digest, part) -> events.add(new ConfigurationEvent.PartRead(digest, part)));
			for (ConfigurationEvent event : events) {
				state = FleetReducerTests.this.reducer.reduce(state, 2, event).state();
				assertThat(state.membership().snapshot().configuration().version().revision()).isZero();
			}
			ReductionResult<FleetState> result = FleetReducerTests.this.reducer.reduce(state, 6000,
					new ConfigurationEvent.Ticked());
			assertThat(result.state().isReady()).isTrue();
			assertThat(result.effects()).hasAtLeastOneElementOfType(ConfigurationEffect.Adopted.class)
				.hasAtLeastOneElementOfType(MembershipEffect.PublishSnapshot.class);
			assertThat(result.state().membership().snapshot().configuration().version()).isEqualTo(bundle.version());
		}

	}

}
