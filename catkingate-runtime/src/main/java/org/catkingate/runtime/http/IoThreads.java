package org.catkingate.runtime.http;

import java.io.IOException;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Factory for pools of I/O threads. Stateless.
 *
 * @since 0.1
 */
public final class IoThreads {

	private IoThreads() {
	}

	/**
	 * Starts daemon I/O threads, which do not keep the process alive.
	 * @param name the name of the pool, from which the threads are named
	 * @param count the number of I/O threads
	 * @return the threads, never null
	 * @throws IOException if they cannot be started
	 */
	public static XnioWorker start(String name, int count) throws IOException {
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, count)
			.set(Options.WORKER_TASK_CORE_THREADS, 1)
			.set(Options.WORKER_TASK_MAX_THREADS, 1)
			.set(Options.THREAD_DAEMON, true)
			.set(Options.WORKER_NAME, name)
			.getMap();
		return Xnio.getInstance().createWorker(options);
	}

}
