package org.catkingate.standins.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

import org.catkingate.standins.HttpService;

/**
 * Calls that wait for a change. Each waits on its own I/O thread and is looked at again
 * at a short interval, so that every fault and lag takes effect on it. Safe for use by
 * any thread.
 */
final class Watches {

	private static final long LOOK_MILLIS = 10;

	private final Calls calls;

	Watches(Calls calls) {
		this.calls = calls;
	}

	void await(HttpServerExchange exchange, long waitMillis, BooleanSupplier changed, Runnable answer) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		Watch watch = new Watch(exchange, deadline, changed, answer);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			this.calls.waiting(1);
			watch.look();
		});
	}

	private final class Watch {

		private final HttpServerExchange exchange;

		private final long deadline;

		private final Runnable answer;

		private final BooleanSupplier changed;

		private Watch(HttpServerExchange exchange, long deadline, BooleanSupplier changed, Runnable answer) {
			this.exchange = exchange;
			this.deadline = deadline;
			this.changed = changed;
			this.answer = answer;
		}

		private void look() {
			if (HttpService.isAbandoned(this.exchange)) {
				HttpService.cut(this.exchange);
				Watches.this.calls.waiting(-1);
			}
			else if (this.changed.getAsBoolean() || System.nanoTime() - this.deadline >= 0) {
				Watches.this.calls.waiting(-1);
				this.answer.run();
			}
			else {
				this.exchange.getIoThread().executeAfter(this::look, LOOK_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

	}

}
