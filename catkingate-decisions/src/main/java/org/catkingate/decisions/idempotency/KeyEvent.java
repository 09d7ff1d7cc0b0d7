package org.catkingate.decisions.idempotency;

import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

/**
 * What an agent learns about the homes of keys.
 *
 * @since 0.1
 */
public sealed interface KeyEvent extends Event {

	/**
	 * The services that the agent has runners of, as the list and configuration have it.
	 *
	 * @param services the services
	 */
	record ServicesSeen(List<ServiceView> services) implements KeyEvent {

		public ServicesSeen {
			services = List.copyOf(services);
		}

	}

	/**
	 * The agent has connected to the address that the list has of it, and has met itself
	 * there: it is not a replacement's.
	 *
	 * @param listed the agent as the list has it
	 */
	record MetItself(KeyHome listed) implements KeyEvent {

		public MetItself {
			Objects.requireNonNull(listed, "listed must not be null");
		}

	}

	/**
	 * The platform has confirmed the list that the views are made from.
	 *
	 * @param requestedAtMillis when the read that it answers was sent, in milliseconds of
	 * the monotonic clock
	 */
	record ListConfirmed(long requestedAtMillis) implements KeyEvent {

	}

	/**
	 * Another agent asks for a statement.
	 *
	 * @param requester the agent that asks
	 * @param service the service
	 * @param requestedAtMillis the asker's time, which goes back to it
	 */
	record Asked(InstanceId requester, ServiceName service, long requestedAtMillis) implements KeyEvent {

		public Asked {
			Objects.requireNonNull(requester, "asker must not be null");
			Objects.requireNonNull(service, "service must not be null");
		}

	}

	/**
	 * Another agent has answered.
	 *
	 * @param sender who sent it, as proved to the connection
	 * @param service the service
	 * @param requestedAtMillis when it was asked, in milliseconds of the own monotonic
	 * clock
	 * @param statement the statement
	 */
	record Stated(InstanceId sender, ServiceName service, long requestedAtMillis,
			KeyStatement statement) implements KeyEvent {

		public Stated {
			Objects.requireNonNull(sender, "sender must not be null");
			Objects.requireNonNull(service, "service must not be null");
			Objects.requireNonNull(statement, "statement must not be null");
		}

	}

	/**
	 * It is time to ask again.
	 */
	record AskTime() implements KeyEvent {

	}

}
