package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.Service;

/**
 * The reducer that maintains the state of an agent with regard to the homes of keys, and
 * exchanges statements with the other agents. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeyReducer implements Reducer<KeyState> {

	private final VouchingBounds bounds;

	private KeyReducer(VouchingBounds bounds) {
		this.bounds = bounds;
	}

	/**
	 * Creates the reducer.
	 * @param bounds the bounds
	 * @return the reducer, never null
	 */
	public static KeyReducer with(VouchingBounds bounds) {
		Objects.requireNonNull(bounds, "bounds must not be null");
		return new KeyReducer(bounds);
	}

	@Override
	public ReductionResult<KeyState> reduce(KeyState state, long nowMillis, Event event) {
		if (event instanceof KeyEvent.ServicesObserved observed) {
			return ReductionResult.of(onServicesObserved(state, observed.services(), nowMillis));
		}
		if (event instanceof KeyEvent.OwnAddressConfirmed ownAddress) {
			return ReductionResult.of(state.withOwn(ownAddress.listed()));
		}
		if (event instanceof KeyEvent.ListConfirmed confirmed) {
			return ReductionResult.of(state.withListConfirmedAt(Math.min(nowMillis, confirmed.requestedAtMillis())));
		}
		if (event instanceof KeyEvent.StatementRequested request) {
			return onStatementRequested(state, request, nowMillis);
		}
		if (event instanceof KeyEvent.StatementReceived received) {
			return ReductionResult.of(onStatementReceived(state, received, nowMillis));
		}
		if (event instanceof KeyEvent.StatementsDue) {
			return onStatementsDue(state, nowMillis);
		}
		return ReductionResult.of(state);
	}

	private KeyState onServicesObserved(KeyState state, List<ServiceObservation> services, long nowMillis) {
		Map<ServiceName, ServiceKeyState> updated = new HashMap<>();
		for (ServiceObservation service : services) {
			ServiceKeyState previous = state.services().get(service.service());
			ServiceKeyState serviceState = (previous != null)
					? previous.withObservation(service, this.bounds, nowMillis)
					: ServiceKeyState.of(service, nowMillis);
			updated.put(service.service(), serviceState);
		}
		return state.withServices(updated);
	}

	private ReductionResult<KeyState> onStatementRequested(KeyState state, KeyEvent.StatementRequested request,
			long nowMillis) {
		ServiceKeyState serviceState = state.services().get(request.service());
		if (serviceState == null) {
			return ReductionResult.of(state);
		}
		KeyStatement statement = serviceState.statement(state.own(), nowMillis);
		Effect response = new KeyEffect.SendStatement(request.requester(), request.service(),
				request.requestedAtMillis(), statement);
		return new ReductionResult<>(state, List.of(response));
	}

	private KeyState onStatementReceived(KeyState state, KeyEvent.StatementReceived received, long nowMillis) {
		ServiceKeyState serviceState = state.services().get(received.service());
		boolean isFromAuthor = received.sender().equals(received.statement().author().instance());
		if (serviceState == null || !isFromAuthor || received.requestedAtMillis() > nowMillis) {
			return state;
		}
		Map<ServiceName, ServiceKeyState> services = new HashMap<>(state.services());
		services.put(received.service(),
				serviceState.withStatement(received.statement(), received.requestedAtMillis()));
		return state.withServices(services);
	}

	private ReductionResult<KeyState> onStatementsDue(KeyState state, long nowMillis) {
		List<Effect> requests = new ArrayList<>();
		state.services().forEach((service, serviceState) -> {
			List<KeyHome> members = serviceState.history().latest().members();
			if (members.size() <= Service.MAX_AGENTS_FOR_CALLER_KEYS) {
				members.stream()
					.filter((member) -> !member.equals(state.own()))
					.forEach((member) -> requests
						.add(new KeyEffect.RequestStatement(member.instance(), service, nowMillis)));
			}
		});
		return new ReductionResult<>(state, requests);
	}

}
