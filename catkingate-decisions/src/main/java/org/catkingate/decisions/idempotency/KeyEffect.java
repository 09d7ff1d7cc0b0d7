package org.catkingate.decisions.idempotency;

import org.catkingate.decisions.Effect;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

/**
 * What an agent sends to the other agents of a service.
 *
 * @since 0.1
 */
public sealed interface KeyEffect extends Effect {

	/**
	 * Ask an agent for a statement.
	 *
	 * @param agent the agent to ask
	 * @param service the service
	 * @param askedAtMillis the own time, which comes back with the statement
	 */
	record Ask(InstanceId agent, ServiceName service, long askedAtMillis) implements KeyEffect {

	}

	/**
	 * Answer an agent that asked.
	 *
	 * @param agent the agent that asked
	 * @param service the service
	 * @param askedAtMillis its time, as it came with the question
	 * @param statement the statement
	 */
	record Answer(InstanceId agent, ServiceName service, long askedAtMillis,
			KeyStatement statement) implements KeyEffect {

	}

}
