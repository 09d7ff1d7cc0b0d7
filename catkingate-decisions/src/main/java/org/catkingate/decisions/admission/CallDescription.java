package org.catkingate.decisions.admission;

import java.util.Objects;
import java.util.Optional;

import org.catkingate.decisions.cost.CallCost;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;

/**
 * A call as the admission sees it. Immutable.
 *
 * @param scope what restricts where it may be sent
 * @param urgency its urgency
 * @param account the client account, null for a call without a key
 * @param requirements its size and the times it has
 * @param cost its expected cost, empty if decisions do not depend on it
 * @since 0.1
 */
public record CallDescription(CallScope scope, Urgency urgency, AccountName account, CallRequirements requirements,
		Optional<CallCost> cost) {

	public CallDescription {
		Objects.requireNonNull(scope, "scope must not be null");
		Objects.requireNonNull(urgency, "urgency must not be null");
		Objects.requireNonNull(requirements, "requirements must not be null");
		Objects.requireNonNull(cost, "cost must not be null");
	}

	public CallDescription(CallScope scope, Urgency urgency, AccountName account, CallRequirements requirements) {
		this(scope, urgency, account, requirements, Optional.empty());
	}

}
