package org.catkingate.decisions.idempotency;

import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.ServiceName;

/**
 * A key within its scope: equal keys of two client accounts, or of two services, are
 * unrelated. Immutable and safe for use by any thread.
 *
 * @param account the client account
 * @param service the service
 * @param key the caller's key: 1 to 255 printable ASCII characters
 * @since 0.1
 */
public record ScopedKey(AccountName account, ServiceName service, String key) {

	/** The maximum length of a key, in characters. */
	public static final int MAX_KEY_LENGTH = 255;

	private static final char FIRST_PRINTABLE = ' ';

	private static final char LAST_PRINTABLE = '~';

	public ScopedKey {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(service, "service must not be null");
		if (!isValidKey(key)) {
			throw new IllegalArgumentException("key must have 1 to 255 printable ASCII characters");
		}
	}

	/**
	 * Returns whether a caller's key is valid.
	 * @param key the key, or null
	 * @return whether it has 1 to 255 printable ASCII characters
	 */
	public static boolean isValidKey(String key) {
		return key != null && !key.isEmpty() && key.length() <= MAX_KEY_LENGTH
				&& key.chars().allMatch((character) -> character >= FIRST_PRINTABLE && character <= LAST_PRINTABLE);
	}

}
