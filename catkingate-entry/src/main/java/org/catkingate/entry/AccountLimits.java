package org.catkingate.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;

import org.catkingate.decisions.limits.AccountShare;
import org.catkingate.decisions.limits.AccountUsage;
import org.catkingate.decisions.limits.LimitDecision;
import org.catkingate.model.AccountName;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.runtime.MonotonicClock;

/**
 * The limits of client accounts, of which each entry enforces its share. Safe for use by
 * any thread.
 */
final class AccountLimits {

	private final Map<AccountName, AccountUsage> usages = new ConcurrentHashMap<>();

	private final IntSupplier entryCount;

	private final MonotonicClock clock;

	AccountLimits(IntSupplier entryCount, MonotonicClock clock) {
		this.entryCount = entryCount;
		this.clock = clock;
	}

	/**
	 * Counts a request if the account is within its limits. Each request that is allowed
	 * must be followed by exactly one call of {@link #finish}.
	 * @param account the account
	 * @return whether the request is allowed, and otherwise which limit rejects it
	 */
	LimitDecision tryStart(ClientAccount account) {
		AccountShare share = AccountShare.of(account, Math.max(1, this.entryCount.getAsInt()));
		long now = this.clock.millis();
		LimitDecision[] decision = new LimitDecision[1];
		this.usages.compute(account.name(), (name, previous) -> {
			AccountUsage usage = (previous != null) ? previous.refilled(share, now) : AccountUsage.initial(share, now);
			decision[0] = usage.decide(share);
			return (decision[0].isAllowed()) ? usage.withRequestStarted() : usage;
		});
		return decision[0];
	}

	void finish(ClientAccount account) {
		update(account, AccountUsage::withRequestEnded);
	}

	void recordTokens(ClientAccount account, long tokens) {
		if (tokens > 0) {
			update(account, (usage) -> usage.withTokensGenerated(tokens));
		}
	}

	private void update(ClientAccount account, UnaryOperator<AccountUsage> operator) {
		this.usages.computeIfPresent(account.name(), (name, usage) -> operator.apply(usage));
	}

}
