package org.catkingate.decisions.idempotency;

import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

/**
 * The events that {@link KeyReducer} processes.
 *
 * @since 0.1
 */
public sealed interface KeyEvent extends Event {

	/**
	 * The views of the services for which the agent has runners have been derived from
	 * the instance list and the configuration.
	 *
	 * @param services the views of the services
	 */
	record ServicesObserved(List<ServiceObservation> services) implements KeyEvent {

		public ServicesObserved {
			services = List.copyOf(services);
		}

	}

	/**
	 * The agent has connected to its own address on the instance list and has reached
	 * itself there, so the address does not belong to a replacement.
	 *
	 * @param listed the agent as the instance list has it
	 */
	record OwnAddressConfirmed(KeyHome listed) implements KeyEvent {

		public OwnAddressConfirmed {
			Objects.requireNonNull(listed, "listed must not be null");
		}

	}

	/**
	 * The platform has confirmed the instance list from which the views are derived.
	 *
	 * @param requestedAtMillis when the confirmed read was sent, in milliseconds of the
	 * monotonic clock
	 */
	record ListConfirmed(long requestedAtMillis) implements KeyEvent {

	}

	/**
	 * Another agent requests a statement.
	 *
	 * @param requester the agent that sent the request
	 * @param service the service
	 * @param requestedAtMillis the time of the requester, which is returned to it
	 */
	record StatementRequested(InstanceId requester, ServiceName service, long requestedAtMillis) implements KeyEvent {

		public StatementRequested {
			Objects.requireNonNull(requester, "requester must not be null");
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * Another agent has sent a statement.
	 *
	 * @param sender the agent that sent it, as proved on the connection
	 * @param service the service
	 * @param requestedAtMillis when the statement was requested, in milliseconds of this
	 * agent's monotonic clock
	 * @param statement the statement
	 */
	record StatementReceived(InstanceId sender, ServiceName service, long requestedAtMillis,
			KeyStatement statement) implements KeyEvent {

		public StatementReceived {
			Objects.requireNonNull(sender, "sender must not be null");
			Objects.requireNonNull(service, "service must not be null");
			Objects.requireNonNull(statement, "statement must not be null");
		}

	}

	/**
	 * Statements are due to be requested from the other agents.
	 */
	record StatementsDue() implements KeyEvent {

	}

}
