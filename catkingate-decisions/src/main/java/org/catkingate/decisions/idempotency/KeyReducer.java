package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.Service;

/**
 * Maintains the state of an agent with regard to the homes of keys, and exchanges
 * statements with the other agents. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeyReducer implements Reducer<KeyState> {

	private final VouchingBounds times;

	private KeyReducer(VouchingBounds times) {
		this.times = times;
	}

	/**
	 * Creates the reducer.
	 * @param times the bounds
	 * @return the reducer, never null
	 */
	public static KeyReducer with(VouchingBounds times) {
		Objects.requireNonNull(times, "times must not be null");
		return new KeyReducer(times);
	}

	@Override
	public Step<KeyState> reduce(KeyState state, long nowMillis, Event event) {
		if (event instanceof KeyEvent.ServicesObserved observed) {
			return Step.of(onServicesObserved(state, observed.services(), nowMillis));
		}
		if (event instanceof KeyEvent.OwnAddressConfirmed ownAddress) {
			return Step.of(state.withOwn(ownAddress.listed()));
		}
		if (event instanceof KeyEvent.ListConfirmed confirmed) {
			return Step.of(state.withListConfirmedAt(Math.min(nowMillis, confirmed.requestedAtMillis())));
		}
		if (event instanceof KeyEvent.StatementRequested request) {
			return onStatementRequested(state, request, nowMillis);
		}
		if (event instanceof KeyEvent.StatementReceived stated) {
			return Step.of(onStatementReceived(state, stated, nowMillis));
		}
		if (event instanceof KeyEvent.StatementsDue) {
			return onStatementsDue(state, nowMillis);
		}
		return Step.of(state);
	}

	private KeyState onServicesObserved(KeyState state, List<ServiceView> services, long nowMillis) {
		Map<ServiceName, ServiceKeyState> updated = new HashMap<>();
		for (ServiceView service : services) {
			ServiceKeyState previous = state.services().get(service.service());
			ServiceKeyState keys = (previous != null) ? previous.withView(service, this.times, nowMillis)
					: ServiceKeyState.of(service, nowMillis);
			updated.put(service.service(), keys);
		}
		return state.withServices(updated);
	}

	private Step<KeyState> onStatementRequested(KeyState state, KeyEvent.StatementRequested request, long nowMillis) {
		ServiceKeyState keys = state.services().get(request.service());
		if (keys == null) {
			return Step.of(state);
		}
		KeyStatement statement = keys.statement(state.own(), nowMillis);
		Effect response = new KeyEffect.SendStatement(request.requester(), request.service(),
				request.requestedAtMillis(), statement);
		return new Step<>(state, List.of(response));
	}

	private KeyState onStatementReceived(KeyState state, KeyEvent.StatementReceived stated, long nowMillis) {
		ServiceKeyState keys = state.services().get(stated.service());
		boolean isFromAuthor = stated.sender().equals(stated.statement().author().instance());
		if (keys == null || !isFromAuthor || stated.requestedAtMillis() > nowMillis) {
			return state;
		}
		Map<ServiceName, ServiceKeyState> services = new HashMap<>(state.services());
		services.put(stated.service(), keys.withStatement(stated.statement(), stated.requestedAtMillis()));
		return state.withServices(services);
	}

	private Step<KeyState> onStatementsDue(KeyState state, long nowMillis) {
		List<Effect> requests = new ArrayList<>();
		state.services().forEach((service, keys) -> {
			List<KeyHome> members = keys.history().latest().members();
			if (members.size() <= Service.MAX_AGENTS_FOR_CALLER_KEYS) {
				members.stream()
					.filter((member) -> !member.equals(state.own()))
					.forEach((member) -> requests
						.add(new KeyEffect.RequestStatement(member.instance(), service, nowMillis)));
			}
		});
		return new Step<>(state, requests);
	}

}
