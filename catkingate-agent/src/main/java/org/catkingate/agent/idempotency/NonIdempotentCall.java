package org.catkingate.agent.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.ServiceName;
import org.catkingate.wire.RequestMessage;

/**
 * A non-idempotent call as submitted to a {@link CallGuard}. Immutable and safe for use
 * by any thread.
 *
 * @param account the client account
 * @param service the service
 * @param key the caller's key; null for none
 * @param content the digest of method, target and body; a key may be used for one content
 * only
 * @since 0.1
 */
public record NonIdempotentCall(AccountName account, ServiceName service, String key, Digest content) {

	private static final byte SEPARATOR = '\n';

	public NonIdempotentCall {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(content, "content must not be null");
	}

	/**
	 * Creates the call from a dispatch.
	 * @param dispatch the dispatch of a non-idempotent call
	 * @return the call, never null
	 */
	public static NonIdempotentCall of(RequestMessage.Dispatch dispatch) {
		MessageDigest sha256 = Digest.createSha256();
		sha256.update(dispatch.method().getBytes(StandardCharsets.UTF_8));
		sha256.update(SEPARATOR);
		sha256.update(dispatch.target().getBytes(StandardCharsets.UTF_8));
		sha256.update(SEPARATOR);
		sha256.update(dispatch.body());
		Digest content = Digest.ofHash(sha256.digest());
		return new NonIdempotentCall(dispatch.account(), dispatch.service(), dispatch.idempotencyKey(), content);
	}

}
