package org.catkingate.agent.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Objects;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.catkingate.decisions.idempotency.IssuedKey;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.model.AccountName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;

/**
 * Issuer of the idempotency keys of one agent incarnation. The secret that signs them is
 * generated at the start and never leaves the process, so no other incarnation accepts
 * them as its own. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeyIssuer {

	/** The time for which an issued key may be used, in milliseconds. */
	public static final long KEY_VALIDITY_MILLIS = 15 * 60 * 1000;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int SECRET_BYTES = 32;

	private static final int RANDOM_AND_MAC_BYTES = 16;

	private static final SecureRandom SECURE_RANDOM = new SecureRandom();

	private final InstanceId agent;

	private final long incarnation;

	private final MonotonicClock clock;

	private final SecretKeySpec secret;

	private KeyIssuer(InstanceId agent, long incarnation, MonotonicClock clock) {
		this.agent = agent;
		this.incarnation = incarnation;
		this.clock = clock;
		this.secret = new SecretKeySpec(randomBytes(SECRET_BYTES), ALGORITHM);
	}

	/**
	 * Creates the issuer of an incarnation.
	 * @param agent the agent
	 * @param incarnation the incarnation that the agent proves to its peers
	 * @param clock the clock
	 * @return the issuer, never null
	 */
	public static KeyIssuer create(InstanceId agent, long incarnation, MonotonicClock clock) {
		Objects.requireNonNull(agent, "agent must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new KeyIssuer(agent, incarnation, clock);
	}

	private static byte[] randomBytes(int count) {
		byte[] bytes = new byte[count];
		SECURE_RANDOM.nextBytes(bytes);
		return bytes;
	}

	/**
	 * Issues a key.
	 * @param account the client account that may use it
	 * @param service the service that it may be used for
	 * @return the key, never null
	 */
	public String issue(AccountName account, ServiceName service) {
		String random = HexFormat.of().formatHex(randomBytes(RANDOM_AND_MAC_BYTES));
		IssuedKey unsigned = new IssuedKey(this.agent, this.incarnation, this.clock.millis(), random, "");
		String mac = mac(unsigned, account, service);
		return new IssuedKey(unsigned.agent(), unsigned.incarnation(), unsigned.issuedAtMillis(), random, mac).text();
	}

	/**
	 * Checks a key.
	 * @param scopedKey the key with the client account and the service that it is used
	 * for
	 * @return its validity, never null
	 */
	Validity check(ScopedKey scopedKey) {
		IssuedKey issuedKey = IssuedKey.parse(scopedKey.key()).orElse(null);
		if (issuedKey == null) {
			return Validity.FORGED;
		}
		if (!issuedKey.agent().equals(this.agent) || issuedKey.incarnation() != this.incarnation) {
			return Validity.OTHER_INCARNATION;
		}
		byte[] expected = asciiBytes(mac(issuedKey, scopedKey.account(), scopedKey.service()));
		if (!MessageDigest.isEqual(expected, asciiBytes(issuedKey.mac()))) {
			return Validity.FORGED;
		}
		return (this.clock.millis() - issuedKey.issuedAtMillis() > KEY_VALIDITY_MILLIS) ? Validity.EXPIRED
				: Validity.VALID;
	}

	/**
	 * Returns the time until which the outcome of a call with an issued key must be
	 * remembered at least.
	 * @param key a key that was valid
	 * @return the time, in milliseconds of the monotonic clock
	 */
	long retainUntilMillis(String key) {
		return IssuedKey.parse(key).orElseThrow().issuedAtMillis() + KEY_VALIDITY_MILLIS + 1;
	}

	private String mac(IssuedKey issuedKey, AccountName account, ServiceName service) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.secret);
			mac.update(asciiBytes(issuedKey.signedText() + "\n" + account + "\n" + service));
			return HexFormat.of().formatHex(mac.doFinal(), 0, RANDOM_AND_MAC_BYTES);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this Java runtime lacks " + ALGORITHM + "; install a complete one", ex);
		}
	}

	private static byte[] asciiBytes(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * Validity of a key at this incarnation.
	 */
	enum Validity {

		/** Issued by this incarnation, for this account and service, and not expired. */
		VALID,

		/** Issued by this incarnation too long ago. */
		EXPIRED,

		/** Issued by another agent, or another incarnation of this one. */
		OTHER_INCARNATION,

		/** Not issued by any agent, or issued for another account or service. */
		FORGED

	}

}
