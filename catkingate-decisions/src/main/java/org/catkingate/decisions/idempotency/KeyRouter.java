package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;

/**
 * Routes calls with a key, each to the only agent that may run it. An unreachable agent
 * is never replaced by another one. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeyRouter {

	private static final String ISSUER_GONE = "the agent that issued this key is gone, and whether an earlier attempt ran"
			+ " cannot be told; find out what became of the call before making it again with a new key";

	private KeyRouter() {
	}

	/**
	 * Routes a call by its key.
	 * @param snapshot the snapshot of the entry
	 * @param scopedKey the key of the call
	 * @return the route, never null
	 */
	public static KeyRoute route(FleetSnapshot snapshot, ScopedKey scopedKey) {
		if (IssuedKey.hasPrefix(scopedKey.key())) {
			return IssuedKey.parse(scopedKey.key())
				.map((issuedKey) -> route(snapshot, issuedKey))
				.orElseGet(() -> new KeyRoute.NotRun(0,
						"the key begins like one that the system issues but is none; use it as it was issued"));
		}
		Optional<KeyHome> home = snapshot.configuration()
			.service(scopedKey.service())
			.flatMap((service) -> view(snapshot, service).home(scopedKey));
		if (home.isEmpty()) {
			return new KeyRoute.NotRun(VouchingEvaluator.RETRY_AFTER_MILLIS,
					"the service has no agents; repeat with the same key");
		}
		return routeIfReachable(snapshot, home.get().instance());
	}

	private static KeyRoute route(FleetSnapshot snapshot, IssuedKey issuedKey) {
		AgentView agent = snapshot.agents().get(issuedKey.agent());
		if (agent == null && snapshot.agents().isEmpty()) {
			return new KeyRoute.NotRun(VouchingEvaluator.RETRY_AFTER_MILLIS,
					"this entry has just started; repeat with the same key");
		}
		if (agent == null || (agent.incarnation() != 0 && agent.incarnation() != issuedKey.incarnation())) {
			return new KeyRoute.OutcomeUnknown(ISSUER_GONE);
		}
		return routeIfReachable(snapshot, issuedKey.agent());
	}

	private static KeyRoute routeIfReachable(FleetSnapshot snapshot, InstanceId agent) {
		if (snapshot.agents().get(agent).reachable()) {
			return new KeyRoute.ToAgent(agent);
		}
		return new KeyRoute.NotRun(VouchingEvaluator.RETRY_AFTER_MILLIS,
				"the agent of this key cannot be reached at present; repeat with the same key");
	}

	/**
	 * Creates the view of the agents of a service from the instance list of the platform
	 * and the group of the service.
	 * @param configuration the configuration in force
	 * @param service the service
	 * @param agents the records of the agents on the instance list
	 * @return the view, never null
	 */
	public static HomeView view(PublishedConfiguration configuration, Service service,
			Collection<InstanceRecord> agents) {
		InstanceGroup group = configuration.groups().get(service.group());
		if (group == null) {
			return HomeView.of(service.expectedRunners(), List.of());
		}
		List<KeyHome> members = agents.stream()
			.filter((agent) -> !agent.leaving() && group.selector().matches(agent.labels()))
			.map(KeyHome::of)
			.toList();
		return HomeView.of(service.expectedRunners(), members);
	}

	private static HomeView view(FleetSnapshot snapshot, Service service) {
		List<InstanceRecord> agents = snapshot.agents().values().stream().map(AgentView::instance).toList();
		return view(snapshot.configuration(), service, agents);
	}

}
