package org.catkingate.model.published;

import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;

/**
 * A client account and its limits over the whole fleet. Immutable and safe for use by any
 * thread.
 *
 * @param name the account's name
 * @param keyDigest the digest of its key
 * @param labels its labels, which rules select by
 * @param requestsPerSecond how many requests it may start a second
 * @param concurrentRequests how many it may have in progress
 * @param tokensPerSecond how many tokens it may have generated a second
 * @param priority its priority, from 0, the lowest, to 9
 * @since 0.1
 */
public record ClientAccount(AccountName name, Digest keyDigest, Labels labels, int requestsPerSecond,
		int concurrentRequests, int tokensPerSecond, int priority) {

	/** The highest priority. */
	public static final int MAX_PRIORITY = 9;

	public ClientAccount {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(keyDigest, "keyDigest must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
		if (priority < 0 || priority > MAX_PRIORITY) {
			throw new IllegalArgumentException("priority must be from 0 to 9");
		}
	}

}
