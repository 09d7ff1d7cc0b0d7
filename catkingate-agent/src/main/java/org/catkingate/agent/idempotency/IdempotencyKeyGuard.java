package org.catkingate.agent.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.idempotency.IssuedKey;
import org.catkingate.decisions.idempotency.KeyLookupResult;
import org.catkingate.decisions.idempotency.KeyMemory;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.idempotency.StoredResponse;
import org.catkingate.decisions.idempotency.Verdict;
import org.catkingate.decisions.idempotency.VouchingEvaluator;
import org.catkingate.runtime.MonotonicClock;

/**
 * Guard that lets a call with a given idempotency key run at most once and replays the
 * stored response to repeats. One lock guards the key memory; no I/O is done while it is
 * held. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class IdempotencyKeyGuard implements CallGuard {

	/** The maximum size of a response that is stored for repeats, in bytes. */
	static final int MAX_RESPONSE_BYTES = 1024 * 1024;

	private static final int MAX_KEYS = 50_000;

	private static final long MAX_STORED_BYTES = 32L * 1024 * 1024;

	private static final long RETRY_AFTER_FULL_MILLIS = 5_000;

	private final KeyMemory memory;

	private final KeyHomeTracker homes;

	private final KeyIssuer keyIssuer;

	private final MonotonicClock clock;

	private final KeyCounts counts = KeyCounts.zero();

	private IdempotencyKeyGuard(KeyMemory memory, KeyHomeTracker homes, KeyIssuer keyIssuer, MonotonicClock clock) {
		this.memory = memory;
		this.homes = homes;
		this.keyIssuer = keyIssuer;
		this.clock = clock;
	}

	/**
	 * Creates a guard without remembered keys.
	 * @param homes the homes of keys
	 * @param keyIssuer the issuer of this incarnation's keys
	 * @param clock the clock
	 * @return the guard, never null
	 */
	public static IdempotencyKeyGuard create(KeyHomeTracker homes, KeyIssuer keyIssuer, MonotonicClock clock) {
		return bounded(homes, keyIssuer, clock, MAX_KEYS, MAX_STORED_BYTES);
	}

	static IdempotencyKeyGuard bounded(KeyHomeTracker homes, KeyIssuer keyIssuer, MonotonicClock clock, int maxKeys,
			long maxStoredBytes) {
		Objects.requireNonNull(homes, "homes must not be null");
		Objects.requireNonNull(keyIssuer, "keyIssuer must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new IdempotencyKeyGuard(KeyMemory.bounded(maxKeys, maxStoredBytes), homes, keyIssuer, clock);
	}

	/**
	 * Returns the number of calls with a key since the agent started, by outcome.
	 * @return the counts, never null
	 */
	public KeyCounts counts() {
		return this.counts;
	}

	@Override
	public IdempotencyDecision admit(NonIdempotentCall call) {
		if (call.key() == null) {
			return new IdempotencyDecision.Run(UnkeyedPermit.INSTANCE);
		}
		if (!ScopedKey.isValidKey(call.key())) {
			return new IdempotencyDecision.Reject(0,
					"an Idempotency-Key must have 1 to 255 printable ASCII characters");
		}
		return admit(call, new ScopedKey(call.account(), call.service(), call.key()));
	}

	private synchronized IdempotencyDecision admit(NonIdempotentCall call, ScopedKey scopedKey) {
		this.memory.removeExpired(this.clock.millis());
		KeyLookupResult lookup = this.memory.find(scopedKey, call.content());
		return switch (lookup.kind()) {
			case NEW -> admitNew(call, scopedKey);
			case FULL -> reject(RETRY_AFTER_FULL_MILLIS,
					"this agent holds as many keys as it can; repeat later with the same key");
			case OTHER_CONTENT ->
				reject(0, "the key belongs to a call with another method, target or body; use a new key for each call");
			case IN_PROGRESS -> outcomeUnknown(VouchingEvaluator.RETRY_AFTER_MILLIS,
					"the call of this key is in progress; repeat with the same key for its answer");
			case ENDED -> replay(lookup.response());
			case ENDED_NOT_KEPT ->
				outcomeUnknown(0, "the call of this key has run, and its answer was too large to be kept;"
						+ " look up its result in the service");
			case OUTCOME_UNKNOWN -> outcomeUnknown(0, "the call of this key was sent to the service and broke off;"
					+ " look up its result in the service before making it again");
		};
	}

	private IdempotencyDecision admitNew(NonIdempotentCall call, ScopedKey scopedKey) {
		if (IssuedKey.hasPrefix(scopedKey.key())) {
			KeyIssuer.Validity validity = this.keyIssuer.check(scopedKey);
			return (validity == KeyIssuer.Validity.VALID) ? begin(call, scopedKey, true) : decideOnInvalidKey(validity);
		}
		Verdict verdict = this.homes.evaluate(scopedKey, 0);
		return (verdict.isVouched()) ? begin(call, scopedKey, false)
				: reject(verdict.retryAfterMillis(), verdict.reason().message());
	}

	private IdempotencyDecision begin(NonIdempotentCall call, ScopedKey scopedKey, boolean agentIssued) {
		this.memory.begin(scopedKey, call.content());
		return new IdempotencyDecision.Run(new KeyedPermit(scopedKey, agentIssued, this.clock.millis()));
	}

	private IdempotencyDecision decideOnInvalidKey(KeyIssuer.Validity validity) {
		if (validity == KeyIssuer.Validity.FORGED) {
			return reject(0, "the key was not issued for this client account and service; use it as it was issued");
		}
		return outcomeUnknown(0, "the agent that issued this key no longer knows it, and whether an earlier attempt ran"
				+ " cannot be told; look up the result in the service before making the call again with a new key");
	}

	private IdempotencyDecision reject(long retryAfterMillis, String message) {
		this.counts.rejected().increment();
		return new IdempotencyDecision.Reject(retryAfterMillis, message);
	}

	private IdempotencyDecision outcomeUnknown(long retryAfterMillis, String message) {
		this.counts.unknown().increment();
		return new IdempotencyDecision.OutcomeUnknown(retryAfterMillis, message);
	}

	private IdempotencyDecision replay(StoredResponse response) {
		this.counts.replayed().increment();
		return new IdempotencyDecision.Replay(response);
	}

	private synchronized void release(ScopedKey scopedKey) {
		this.memory.release(scopedKey);
	}

	private synchronized void complete(ScopedKey scopedKey, boolean agentIssued, StoredResponse response) {
		this.memory.complete(scopedKey, response, retainUntilMillis(scopedKey, agentIssued));
	}

	private synchronized void fail(ScopedKey scopedKey, boolean agentIssued) {
		this.memory.fail(scopedKey, retainUntilMillis(scopedKey, agentIssued));
	}

	private long retainUntilMillis(ScopedKey scopedKey, boolean agentIssued) {
		long retained = this.clock.millis() + this.homes.retentionMillis(scopedKey.service());
		return (agentIssued) ? Math.max(retained, this.keyIssuer.retainUntilMillis(scopedKey.key())) : retained;
	}

	/**
	 * Permit of a call with a key, which collects the response for repeats.
	 */
	private final class KeyedPermit implements RunPermit {

		private final ScopedKey scopedKey;

		private final boolean agentIssued;

		private final long admittedAtMillis;

		private int status;

		private List<StoredResponse.Header> headers = List.of();

		// null once the response is too large to be stored
		private List<byte[]> body = new ArrayList<>();

		private long bodyBytes;

		private boolean open = true;

		private KeyedPermit(ScopedKey scopedKey, boolean agentIssued, long admittedAtMillis) {
			this.scopedKey = scopedKey;
			this.agentIssued = agentIssued;
			this.admittedAtMillis = admittedAtMillis;
		}

		@Override
		public synchronized boolean tryStart() {
			if (!this.open) {
				return false;
			}
			long heldMillis = IdempotencyKeyGuard.this.clock.millis() - this.admittedAtMillis;
			if (this.agentIssued || IdempotencyKeyGuard.this.homes.evaluate(this.scopedKey, heldMillis).isVouched()) {
				IdempotencyKeyGuard.this.counts.started().increment();
				return true;
			}
			abandon();
			return false;
		}

		@Override
		public synchronized void abandon() {
			if (close()) {
				IdempotencyKeyGuard.this.counts.rejected().increment();
				release(this.scopedKey);
			}
		}

		@Override
		public synchronized void recordHead(int newStatus, List<StoredResponse.Header> newHeaders) {
			this.status = newStatus;
			this.headers = List.copyOf(newHeaders);
		}

		@Override
		public synchronized void recordBody(byte[] part) {
			this.bodyBytes += part.length;
			if (this.bodyBytes > MAX_RESPONSE_BYTES) {
				this.body = null;
			}
			else {
				this.body.add(part);
			}
		}

		@Override
		public synchronized void complete() {
			if (close()) {
				StoredResponse response = (this.body != null) ? new StoredResponse(this.status, this.headers, this.body)
						: null;
				IdempotencyKeyGuard.this.complete(this.scopedKey, this.agentIssued, response);
			}
		}

		@Override
		public synchronized void fail() {
			if (close()) {
				IdempotencyKeyGuard.this.fail(this.scopedKey, this.agentIssued);
			}
		}

		private boolean close() {
			boolean wasOpen = this.open;
			this.open = false;
			return wasOpen;
		}

	}

}
