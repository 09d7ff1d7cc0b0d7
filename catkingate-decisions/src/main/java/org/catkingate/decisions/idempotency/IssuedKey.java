package org.catkingate.decisions.idempotency;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.catkingate.model.InstanceId;

/**
 * A key issued by an agent: only the incarnation of the agent that it names may run its
 * call. Immutable and safe for use by any thread.
 *
 * @param agent the agent that issued it
 * @param incarnation the agent's incarnation
 * @param issuedAtMillis when it was issued, by the agent's monotonic clock, in
 * milliseconds
 * @param random 32 hexadecimal digits that are unique to this key
 * @param mac 32 hexadecimal digits of a keyed hash that only the incarnation can compute
 * @since 0.1
 */
public record IssuedKey(InstanceId agent, long incarnation, long issuedAtMillis, String random, String mac) {

	private static final String PREFIX = "ckt1~";

	private static final int HEX_RADIX = 16;

	private static final Pattern FORMAT = Pattern
		.compile("ckt1~([A-Za-z0-9._-]{1,128})~([0-9a-f]{1,16})~([0-9a-f]{1,16})~([0-9a-f]{32})~([0-9a-f]{32})");

	private static final int INCARNATION_GROUP = 2;

	private static final int ISSUED_GROUP = 3;

	private static final int RANDOM_GROUP = 4;

	private static final int MAC_GROUP = 5;

	public IssuedKey {
		Objects.requireNonNull(agent, "agent must not be null");
		Objects.requireNonNull(random, "random must not be null");
		Objects.requireNonNull(mac, "mac must not be null");
	}

	/**
	 * Returns whether a key has the prefix of issued keys.
	 * @param key the key
	 * @return whether it begins with the prefix; its format may still be invalid
	 */
	public static boolean hasPrefix(String key) {
		return key.startsWith(PREFIX);
	}

	/**
	 * Parses an issued key.
	 * @param key the key
	 * @return the issued key, or empty if the format of the key is invalid
	 */
	public static Optional<IssuedKey> parse(String key) {
		Matcher matcher = FORMAT.matcher(key);
		if (!matcher.matches() || !Character.isLetterOrDigit(matcher.group(1).charAt(0))) {
			return Optional.empty();
		}
		long incarnation = Long.parseUnsignedLong(matcher.group(INCARNATION_GROUP), HEX_RADIX);
		long issued = Long.parseUnsignedLong(matcher.group(ISSUED_GROUP), HEX_RADIX);
		return Optional.of(new IssuedKey(new InstanceId(matcher.group(1)), incarnation, issued,
				matcher.group(RANDOM_GROUP), matcher.group(MAC_GROUP)));
	}

	/**
	 * Returns the text over which the keyed hash is computed, together with account and
	 * service.
	 * @return the text of the key without the keyed hash
	 */
	public String signedText() {
		return PREFIX + this.agent.value() + "~" + Long.toHexString(this.incarnation) + "~"
				+ Long.toHexString(this.issuedAtMillis) + "~" + this.random;
	}

	/**
	 * Returns the text of the key.
	 * @return the text that {@link #parse} accepts
	 */
	public String text() {
		return signedText() + "~" + this.mac;
	}

}
