package org.catkingate.tests.faults;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.Response;

/**
 * A random mix of requests, drawn from a seed. Some purchases are repeated with the same
 * key at any entry, also while the first attempt is in progress, and some completions are
 * abandoned by their caller. Safe for use by any thread.
 */
public final class Workload {

	private static final AtomicInteger WORKLOAD_COUNT = new AtomicInteger();

	private static final int MAX_CONCURRENT_REQUESTS = 24;

	private static final int MAX_TOKENS = 40;

	private static final int RECENT_KEY_COUNT = 8;

	private static final long TIMEOUT_SECONDS = 90;

	private final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());

	private final List<CompletableFuture<?>> pending = new ArrayList<>();

	private final Semaphore permits = new Semaphore(MAX_CONCURRENT_REQUESTS);

	private final List<Caller> callers;

	private final SplittableRandom random;

	private final String prefix;

	private int nextNumber;

	public Workload(List<Caller> callers, long seed) {
		this.callers = List.copyOf(callers);
		this.random = new SplittableRandom(seed);
		this.prefix = "w" + seed + "-" + WORKLOAD_COUNT.incrementAndGet() + "-";
	}

	/**
	 * Sends requests and returns after the last one has been sent.
	 * @param count the number of requests
	 * @param pauseMillis the pause between two requests, in milliseconds
	 */
	public void send(int count, long pauseMillis) throws InterruptedException {
		for (int i = 0; i < count; i++) {
			if (!this.permits.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException("no response within " + TIMEOUT_SECONDS + " s");
			}
			sendRequest(this.callers.get(this.random.nextInt(this.callers.size())));
			Thread.sleep(pauseMillis);
		}
	}

	private void sendRequest(Caller caller) {
		int tokens = 1 + this.random.nextInt(MAX_TOKENS);
		int kind = this.random.nextInt(10);
		String name = this.prefix + this.nextNumber;
		this.nextNumber++;
		if (kind < 4) {
			record(Attempt.Kind.COMPLETION, name, tokens, caller.requestCompletion(name, tokens));
		}
		else if (kind < 6) {
			this.pending.add(CompletableFuture.runAsync(() -> abandon(caller, name)));
		}
		else if (kind < 7) {
			Caller repeatCaller = this.callers.get(this.random.nextInt(this.callers.size()));
			this.pending
				.add(caller.requestIdempotencyKey().thenCompose((key) -> purchaseTwice(caller, repeatCaller, key)));
		}
		else if (kind < 8) {
			String key = recentKey();
			record(Attempt.Kind.PURCHASE, key, 0, caller.purchase(key, "item of " + key));
		}
		else {
			record(Attempt.Kind.LOOKUP, name, 0, caller.lookUp(name));
		}
	}

	/*
	 * Sends a purchase and its repeat at the same time. Two attempts share one permit,
	 * which is released after the response to the first.
	 */
	private CompletableFuture<Void> purchaseTwice(Caller caller, Caller repeatCaller, Optional<String> issuedKey) {
		if (issuedKey.isEmpty()) {
			this.permits.release();
			return CompletableFuture.completedFuture(null);
		}
		String key = issuedKey.get();
		CompletableFuture<Void> repeat = repeatCaller.purchase(key, "item of " + key)
			.thenAccept((response) -> addPurchase(key, response));
		return caller.purchase(key, "item of " + key).thenAccept((response) -> {
			addPurchase(key, response);
			this.permits.release();
		}).thenCombine(repeat, (firstCompleted, repeatCompleted) -> null);
	}

	private void addPurchase(String key, Response response) {
		this.attempts.add(new Attempt(Attempt.Kind.PURCHASE, key, 0, response));
	}

	/*
	 * Returns one of a few keys that are replaced every 40 requests, so that several
	 * callers send purchases with the same key.
	 */
	private String recentKey() {
		return this.prefix + "recent-" + (this.nextNumber / 40) + "-" + this.random.nextInt(RECENT_KEY_COUNT);
	}

	private void record(Attempt.Kind kind, String name, int tokens, CompletableFuture<Response> response) {
		this.pending.add(response.thenAccept((received) -> {
			this.attempts.add(new Attempt(kind, name, tokens, received));
			this.permits.release();
		}));
	}

	private void abandon(Caller caller, String name) {
		try {
			caller.abandonCompletion(name, MAX_TOKENS);
		}
		catch (IOException ex) {
			// the request is abandoned anyway, so its failure does not matter
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.permits.release();
		}
	}

	/**
	 * Waits for all responses.
	 * @return the attempts that were not abandoned
	 */
	List<Attempt> awaitAttempts() {
		CompletableFuture.allOf(this.pending.toArray(CompletableFuture[]::new))
			.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.join();
		return List.copyOf(this.attempts);
	}

}
