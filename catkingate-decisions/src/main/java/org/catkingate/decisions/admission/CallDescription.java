package org.catkingate.decisions.admission;

import java.util.Objects;

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
 * @since 0.1
 */
public record CallDescription(CallScope scope, Urgency urgency, AccountName account, CallRequirements requirements) {

	public CallDescription {
		Objects.requireNonNull(scope, "scope must not be null");
		Objects.requireNonNull(urgency, "urgency must not be null");
		Objects.requireNonNull(requirements, "requirements must not be null");
	}

}
