package org.catkingate.bench.requests;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashSet;
import java.util.Set;

/**
 * CPU times of threads of this process. Stateless.
 */
final class ThreadCpuTimes {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private ThreadCpuTimes() {
	}

	static Set<Long> liveThreads() {
		Set<Long> ids = new HashSet<>();
		for (long id : THREADS.getAllThreadIds()) {
			ids.add(id);
		}
		return ids;
	}

	static Set<Long> threadsStartedSince(Set<Long> before) {
		Set<Long> added = liveThreads();
		added.removeAll(before);
		return added;
	}

	static long cpuNanos(Set<Long> ids) {
		return ids.stream().mapToLong(THREADS::getThreadCpuTime).filter((nanos) -> nanos > 0).sum();
	}

}
