package org.catkingate.model.published;

import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;

/**
 * A client account with its limits, which apply to the fleet as a whole. Immutable and
 * safe for use by any thread.
 *
 * @param name the account's name
 * @param keyDigest the SHA-256 digest of its key
 * @param labels its labels, by which routing rules select accounts
 * @param requestsPerSecond the maximum number of requests started per second
 * @param concurrentRequests the maximum number of requests in progress
 * @param tokensPerSecond the maximum number of tokens generated per second
 * @param priority its priority, from 0 (lowest) to 9 (highest)
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
