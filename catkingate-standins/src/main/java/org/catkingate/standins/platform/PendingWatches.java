package org.catkingate.standins.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

import org.catkingate.standins.HttpService;

/**
 * Pending long-poll calls that wait for a change. Each is polled at a short interval on
 * its own I/O thread, so that injected faults and delays apply to it as well. Safe for
 * use by any thread.
 */
final class PendingWatches {

	private static final long POLL_INTERVAL_MILLIS = 10;

	private final CallStatistics calls;

	PendingWatches(CallStatistics calls) {
		this.calls = calls;
	}

	void add(HttpServerExchange exchange, long waitMillis, BooleanSupplier changed, Runnable respond) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		Watch watch = new Watch(exchange, deadlineNanos, changed, respond);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			this.calls.addPendingWatches(1);
			watch.poll();
		});
	}

	private final class Watch {

		private final HttpServerExchange exchange;

		private final long deadlineNanos;

		private final Runnable respond;

		private final BooleanSupplier changed;

		private Watch(HttpServerExchange exchange, long deadlineNanos, BooleanSupplier changed, Runnable respond) {
			this.exchange = exchange;
			this.deadlineNanos = deadlineNanos;
			this.changed = changed;
			this.respond = respond;
		}

		private void poll() {
			if (HttpService.isClientDisconnected(this.exchange)) {
				HttpService.closeConnection(this.exchange);
				PendingWatches.this.calls.addPendingWatches(-1);
			}
			else if (this.changed.getAsBoolean() || System.nanoTime() - this.deadlineNanos >= 0) {
				PendingWatches.this.calls.addPendingWatches(-1);
				this.respond.run();
			}
			else {
				this.exchange.getIoThread().executeAfter(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

	}

}
