package org.catkingate.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.Digest;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * An authenticator of callers, which finds the client account of an API key. Safe for use
 * by any thread: the index of accounts is immutable and is replaced when the
 * configuration changes.
 */
final class AccountAuthenticator {

	private static final String SCHEME = "Bearer ";

	private volatile Index index = new Index(PublishedConfiguration.empty(), Map.of());

	Optional<ClientAccount> authenticate(PublishedConfiguration configuration, String authorization) {
		if (authorization == null || !authorization.startsWith(SCHEME)) {
			return Optional.empty();
		}
		String key = authorization.substring(SCHEME.length()).strip();
		Digest digest = Digest.of(key.getBytes(StandardCharsets.UTF_8));
		return Optional.ofNullable(indexOf(configuration).byKey().get(digest));
	}

	private Index indexOf(PublishedConfiguration configuration) {
		Index current = this.index;
		if (current.configuration() != configuration) {
			current = Index.of(configuration);
			this.index = current;
		}
		return current;
	}

	/**
	 * An index of the accounts of one configuration. Immutable.
	 *
	 * @param configuration the configuration
	 * @param byKey the accounts by the digests of their keys
	 */
	private record Index(PublishedConfiguration configuration, Map<Digest, ClientAccount> byKey) {

		static Index of(PublishedConfiguration configuration) {
			Map<Digest, ClientAccount> byKey = new HashMap<>();
			configuration.accounts().values().forEach((account) -> byKey.put(account.keyDigest(), account));
			return new Index(configuration, byKey);
		}

	}

}
