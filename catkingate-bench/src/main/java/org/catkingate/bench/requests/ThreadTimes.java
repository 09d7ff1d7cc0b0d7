package org.catkingate.bench.requests;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashSet;
import java.util.Set;

/**
 * Processor time by thread. Stateless.
 */
final class ThreadTimes {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private ThreadTimes() {
	}

	static Set<Long> threads() {
		Set<Long> ids = new HashSet<>();
		for (long id : THREADS.getAllThreadIds()) {
			ids.add(id);
		}
		return ids;
	}

	static Set<Long> since(Set<Long> before) {
		Set<Long> added = threads();
		added.removeAll(before);
		return added;
	}

	static long nanos(Set<Long> ids) {
		return ids.stream().mapToLong(THREADS::getThreadCpuTime).filter((nanos) -> nanos > 0).sum();
	}

}
