package org.catkingate.decisions.fleet;

import java.util.ArrayList;
import java.util.List;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.configuration.ConfigurationEffect;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.configuration.ConfigurationReducer;
import org.catkingate.decisions.configuration.ConfigurationState;
import org.catkingate.decisions.membership.MembershipEffect;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.decisions.membership.MembershipReducer;
import org.catkingate.decisions.membership.MembershipState;

/**
 * The reducer of the events of membership and of configuration, which turns changes of
 * each into the events that the other needs. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class FleetReducer implements Reducer<FleetState> {

	private final Reducer<MembershipState> membership = MembershipReducer.create();

	private final Reducer<ConfigurationState> configuration = ConfigurationReducer.create();

	private FleetReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static FleetReducer create() {
		return new FleetReducer();
	}

	@Override
	public ReductionResult<FleetState> reduce(FleetState state, long nowMillis, Event event) {
		Reduction reduction = new Reduction(state, nowMillis);
		if (event instanceof MembershipEvent) {
			reduction.reduceMembership(event);
			if (event instanceof MembershipEvent.Ticked) {
				reduction.reduceConfiguration(new ConfigurationEvent.Ticked());
			}
			if (event instanceof MembershipEvent.ConnectionClosed closed) {
				reduction.reduceConfiguration(new ConfigurationEvent.PeerDisconnected(closed.connection()));
			}
		}
		else {
			reduction.reduceConfiguration(event);
		}
		return reduction.toResult();
	}

	/**
	 * A reduction in progress. Not thread-safe.
	 */
	private final class Reduction {

		private final long nowMillis;

		private final List<Effect> effects = new ArrayList<>();

		private MembershipState membershipState;

		private ConfigurationState configurationState;

		private ConfigurationEvent.ReadPaceChanged readPace;

		private ConfigurationEvent.ContactsChanged contacts;

		private Reduction(FleetState state, long nowMillis) {
			this.nowMillis = nowMillis;
			this.membershipState = state.membership();
			this.configurationState = state.configuration();
			this.readPace = state.readPace();
			this.contacts = state.contacts();
		}

		private void reduceMembership(Event event) {
			ReductionResult<MembershipState> result = FleetReducer.this.membership.reduce(this.membershipState,
					this.nowMillis, event);
			this.membershipState = result.state();
			this.effects.addAll(result.effects());
			for (Effect effect : result.effects()) {
				if (effect instanceof MembershipEffect.CloseConnection close) {
					reduceConfiguration(new ConfigurationEvent.PeerDisconnected(close.connection()));
				}
			}
			notifyConfiguration();
		}

		private void notifyConfiguration() {
			ConfigurationEvent.ReadPaceChanged nextReadPace = ConfigurationInputs.readPace(this.membershipState);
			if (!nextReadPace.equals(this.readPace)) {
				this.readPace = nextReadPace;
				reduceConfiguration(nextReadPace);
			}
			ConfigurationEvent.ContactsChanged nextContacts = ConfigurationInputs.contacts(this.membershipState);
			if (!nextContacts.equals(this.contacts)) {
				this.contacts = nextContacts;
				reduceConfiguration(nextContacts);
			}
		}

		private void reduceConfiguration(Event event) {
			ReductionResult<ConfigurationState> result = FleetReducer.this.configuration.reduce(this.configurationState,
					this.nowMillis, event);
			this.configurationState = result.state();
			this.effects.addAll(result.effects());
			for (Effect effect : result.effects()) {
				if (effect instanceof ConfigurationEffect.Adopted adopted) {
					reduceMembership(new MembershipEvent.ConfigurationInForce(adopted.configuration()));
				}
			}
		}

		private ReductionResult<FleetState> toResult() {
			return new ReductionResult<>(
					new FleetState(this.membershipState, this.configurationState, this.readPace, this.contacts),
					this.effects);
		}

	}

}
