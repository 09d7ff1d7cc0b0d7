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

	private final VouchingTimes times;

	private KeyReducer(VouchingTimes times) {
		this.times = times;
	}

	/**
	 * Creates the reducer.
	 * @param times the bounds
	 * @return the reducer, never null
	 */
	public static KeyReducer with(VouchingTimes times) {
		Objects.requireNonNull(times, "times must not be null");
		return new KeyReducer(times);
	}

	@Override
	public Step<KeyState> reduce(KeyState state, long nowMillis, Event event) {
		if (event instanceof KeyEvent.ServicesSeen seen) {
			return Step.to(onServicesObserved(state, seen.services(), nowMillis));
		}
		if (event instanceof KeyEvent.MetItself met) {
			return Step.to(state.withOwn(met.listed()));
		}
		if (event instanceof KeyEvent.ListConfirmed confirmed) {
			return Step.to(state.withListConfirmedAt(Math.min(nowMillis, confirmed.requestedAtMillis())));
		}
		if (event instanceof KeyEvent.Asked asked) {
			return onStatementRequested(state, asked, nowMillis);
		}
		if (event instanceof KeyEvent.Stated stated) {
			return Step.to(onStatementReceived(state, stated, nowMillis));
		}
		if (event instanceof KeyEvent.AskTime) {
			return onStatementsDue(state, nowMillis);
		}
		return Step.to(state);
	}

	private KeyState onServicesObserved(KeyState state, List<ServiceView> services, long nowMillis) {
		Map<ServiceName, ServiceKeys> known = new HashMap<>();
		for (ServiceView service : services) {
			ServiceKeys former = state.services().get(service.service());
			ServiceKeys keys = (former != null) ? former.withView(service, this.times, nowMillis)
					: ServiceKeys.of(service, nowMillis);
			known.put(service.service(), keys);
		}
		return state.withServices(known);
	}

	private Step<KeyState> onStatementRequested(KeyState state, KeyEvent.Asked asked, long nowMillis) {
		ServiceKeys keys = state.services().get(asked.service());
		if (keys == null) {
			return Step.to(state);
		}
		KeyStatement statement = keys.statement(state.own(), nowMillis);
		Effect answer = new KeyEffect.Answer(asked.requester(), asked.service(), asked.requestedAtMillis(), statement);
		return new Step<>(state, List.of(answer));
	}

	private KeyState onStatementReceived(KeyState state, KeyEvent.Stated stated, long nowMillis) {
		ServiceKeys keys = state.services().get(stated.service());
		boolean isOwnName = stated.sender().equals(stated.statement().speaker().instance());
		if (keys == null || !isOwnName || stated.requestedAtMillis() > nowMillis) {
			return state;
		}
		Map<ServiceName, ServiceKeys> services = new HashMap<>(state.services());
		services.put(stated.service(), keys.withStatement(stated.statement(), stated.requestedAtMillis()));
		return state.withServices(services);
	}

	private Step<KeyState> onStatementsDue(KeyState state, long nowMillis) {
		List<Effect> questions = new ArrayList<>();
		state.services().forEach((service, keys) -> {
			List<KeyHome> members = keys.history().latest().members();
			if (members.size() <= Service.MOST_AGENTS_FOR_KEYS) {
				members.stream()
					.filter((member) -> !member.equals(state.own()))
					.forEach((member) -> questions.add(new KeyEffect.Ask(member.instance(), service, nowMillis)));
			}
		});
		return new Step<>(state, questions);
	}

}
