package org.catkingate.agent.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.idempotency.KeptAnswer;
import org.catkingate.decisions.idempotency.KeyMemory;
import org.catkingate.decisions.idempotency.KeyScope;
import org.catkingate.decisions.idempotency.KeyTicket;
import org.catkingate.decisions.idempotency.Remembered;
import org.catkingate.decisions.idempotency.Verdict;
import org.catkingate.decisions.idempotency.Vouching;
import org.catkingate.runtime.MonotonicClock;

/**
 * The agent's memory of non-idempotent calls and the guard in front of new ones. One lock
 * guards the memory; no I/O is done under it. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeyTable implements CallGuard {

	/** The largest answer that is kept for repeats, in bytes. */
	static final int MAXIMUM_ANSWER_BYTES = 1024 * 1024;

	private static final int MAXIMUM_KEYS = 50_000;

	private static final long MAXIMUM_BYTES = 32L * 1024 * 1024;

	private static final long FULL_RETRY_MILLIS = 5_000;

	private final KeyMemory memory;

	private final KeyExchange exchange;

	private final TicketOffice tickets;

	private final MonotonicClock clock;

	private final KeyCounts counts = KeyCounts.zero();

	private KeyTable(KeyMemory memory, KeyExchange exchange, TicketOffice tickets, MonotonicClock clock) {
		this.memory = memory;
		this.exchange = exchange;
		this.tickets = tickets;
		this.clock = clock;
	}

	/**
	 * Makes an empty table.
	 * @param exchange what is known of the homes of keys
	 * @param tickets the keys that this incarnation issues
	 * @param clock the clock
	 * @return the table, never null
	 */
	public static KeyTable create(KeyExchange exchange, TicketOffice tickets, MonotonicClock clock) {
		return bounded(exchange, tickets, clock, MAXIMUM_KEYS, MAXIMUM_BYTES);
	}

	static KeyTable bounded(KeyExchange exchange, TicketOffice tickets, MonotonicClock clock, int maximumKeys,
			long maximumBytes) {
		Objects.requireNonNull(exchange, "exchange must not be null");
		Objects.requireNonNull(tickets, "tickets must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new KeyTable(KeyMemory.bounded(maximumKeys, maximumBytes), exchange, tickets, clock);
	}

	/**
	 * Returns what has become of calls since the agent started.
	 * @return the counts, never null
	 */
	public KeyCounts counts() {
		return this.counts;
	}

	@Override
	public Admission admit(GuardedCall call) {
		if (call.key() == null) {
			return new Admission.Run(UnkeyedPermit.INSTANCE);
		}
		if (!KeyScope.isValidKey(call.key())) {
			return new Admission.Refuse(0, "an Idempotency-Key must have 1 to 255 printable ASCII characters");
		}
		return admit(call, new KeyScope(call.account(), call.service(), call.key()));
	}

	private synchronized Admission admit(GuardedCall call, KeyScope scope) {
		this.memory.forgetUntil(this.clock.millis());
		Remembered remembered = this.memory.find(scope, call.content());
		return switch (remembered.kind()) {
			case NEW -> admitNew(call, scope);
			case FULL ->
				refuse(FULL_RETRY_MILLIS, "this agent holds as many keys as it can; repeat later with the same key");
			case OTHER_CONTENT ->
				refuse(0, "the key belongs to a call with another method, target or body; use a new key for each call");
			case IN_PROGRESS -> unknown(Vouching.RETRY_MILLIS,
					"the call of this key is in progress; repeat with the same key for its answer");
			case ENDED -> replay(remembered.answer());
			case ENDED_NOT_KEPT -> unknown(0, "the call of this key has run, and its answer was too large to be kept;"
					+ " look up its result in the service");
			case OUTCOME_UNKNOWN -> unknown(0, "the call of this key was sent to the service and broke off;"
					+ " look up its result in the service before making it again");
		};
	}

	private Admission admitNew(GuardedCall call, KeyScope scope) {
		if (KeyTicket.isClaimedBy(scope.key())) {
			TicketOffice.Check check = this.tickets.check(scope);
			return (check == TicketOffice.Check.VALID) ? begin(call, scope, true) : refuse(check);
		}
		Verdict verdict = this.exchange.judge(scope, 0);
		return (verdict.vouched()) ? begin(call, scope, false)
				: refuse(verdict.retryAfterMillis(), verdict.reason().message());
	}

	private Admission begin(GuardedCall call, KeyScope scope, boolean ticketed) {
		this.memory.begin(scope, call.content());
		return new Admission.Run(new KeyedPermit(scope, ticketed, this.clock.millis()));
	}

	private Admission refuse(TicketOffice.Check check) {
		if (check == TicketOffice.Check.FORGED) {
			return refuse(0, "the key was not issued for this client account and service; use it as it was issued");
		}
		return unknown(0, "the agent that issued this key no longer knows it, and whether an earlier attempt ran"
				+ " cannot be told; look up the result in the service before making the call again with a new key");
	}

	private Admission refuse(long retryAfterMillis, String message) {
		this.counts.refused().increment();
		return new Admission.Refuse(retryAfterMillis, message);
	}

	private Admission unknown(long retryAfterMillis, String message) {
		this.counts.unknown().increment();
		return new Admission.Unknown(retryAfterMillis, message);
	}

	private Admission replay(KeptAnswer answer) {
		this.counts.replayed().increment();
		return new Admission.Replay(answer);
	}

	private synchronized void release(KeyScope scope) {
		this.memory.release(scope);
	}

	private synchronized void ended(KeyScope scope, boolean ticketed, KeptAnswer answer) {
		this.memory.ended(scope, answer, forgetAtMillis(scope, ticketed));
	}

	private synchronized void failed(KeyScope scope, boolean ticketed) {
		this.memory.failed(scope, forgetAtMillis(scope, ticketed));
	}

	private long forgetAtMillis(KeyScope scope, boolean ticketed) {
		long retained = this.clock.millis() + this.exchange.retentionMillis(scope.service());
		return (ticketed) ? Math.max(retained, this.tickets.rememberUntilMillis(scope.key())) : retained;
	}

	/**
	 * The permit of a call with a key.
	 */
	private final class KeyedPermit implements RunPermit {

		private final KeyScope scope;

		private final boolean ticketed;

		private final long admittedAtMillis;

		private int status;

		private List<KeptAnswer.Header> headers = List.of();

		private List<byte[]> pieces = new ArrayList<>();

		private long bytes;

		private boolean open = true;

		private KeyedPermit(KeyScope scope, boolean ticketed, long admittedAtMillis) {
			this.scope = scope;
			this.ticketed = ticketed;
			this.admittedAtMillis = admittedAtMillis;
		}

		@Override
		public synchronized boolean start() {
			if (!this.open) {
				return false;
			}
			long heldMillis = KeyTable.this.clock.millis() - this.admittedAtMillis;
			if (this.ticketed || KeyTable.this.exchange.judge(this.scope, heldMillis).vouched()) {
				KeyTable.this.counts.started().increment();
				return true;
			}
			notStarted();
			return false;
		}

		@Override
		public synchronized void notStarted() {
			if (close()) {
				KeyTable.this.counts.refused().increment();
				release(this.scope);
			}
		}

		@Override
		public synchronized void head(int newStatus, List<KeptAnswer.Header> newHeaders) {
			this.status = newStatus;
			this.headers = List.copyOf(newHeaders);
		}

		@Override
		public synchronized void data(byte[] piece) {
			this.bytes += piece.length;
			if (this.bytes > MAXIMUM_ANSWER_BYTES) {
				this.pieces = null;
			}
			else {
				this.pieces.add(piece);
			}
		}

		@Override
		public synchronized void ended() {
			if (close()) {
				KeptAnswer answer = (this.pieces != null) ? new KeptAnswer(this.status, this.headers, this.pieces)
						: null;
				KeyTable.this.ended(this.scope, this.ticketed, answer);
			}
		}

		@Override
		public synchronized void failed() {
			if (close()) {
				KeyTable.this.failed(this.scope, this.ticketed);
			}
		}

		private boolean close() {
			boolean wasOpen = this.open;
			this.open = false;
			return wasOpen;
		}

	}

}
