package org.catkingate.decisions.idempotency;

import org.catkingate.decisions.Effect;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

/**
 * The effects that {@link KeyReducer} requests, which are messages to the other agents of
 * a service.
 *
 * @since 0.1
 */
public sealed interface KeyEffect extends Effect {

	/**
	 * An instruction to request a statement from an agent.
	 *
	 * @param agent the agent
	 * @param service the service
	 * @param requestedAtMillis the time of this agent, which is returned with the
	 * statement
	 */
	record RequestStatement(InstanceId agent, ServiceName service, long requestedAtMillis) implements KeyEffect {

	}

	/**
	 * An instruction to send a statement to an agent that has requested it.
	 *
	 * @param agent the agent that sent the request
	 * @param service the service
	 * @param requestedAtMillis the time of that agent, as received with the request
	 * @param statement the statement
	 */
	record SendStatement(InstanceId agent, ServiceName service, long requestedAtMillis,
			KeyStatement statement) implements KeyEffect {

	}

}
