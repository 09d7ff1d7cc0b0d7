package org.catkingate.runtime.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The signal that says that a settings file has changed. The runtime ends a process that
 * does not handle it. Its classes are outside the platform of Java that the compiler
 * vouches for, hence the reflection. Stateless.
 *
 * @since 0.1
 */
public final class HangUp {

	private static final Logger logger = LoggerFactory.getLogger(HangUp.class);

	private HangUp() {
	}

	/**
	 * Runs an action at each such signal from now on.
	 * @param action the action, run by a thread of the runtime
	 */
	public static void onSignal(Runnable action) {
		try {
			Class<?> signal = Class.forName("sun.misc.Signal");
			Class<?> handler = Class.forName("sun.misc.SignalHandler");
			InvocationHandler invocations = (proxy, method, args) -> switch (method.getName()) {
				case "handle" -> {
					action.run();
					yield null;
				}
				case "equals" -> proxy == args[0];
				case "hashCode" -> System.identityHashCode(proxy);
				default -> "hang-up handler";
			};
			Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] { handler }, invocations);
			signal.getMethod("handle", signal, handler)
				.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
		}
		catch (ReflectiveOperationException | IllegalArgumentException ex) {
			logger.atWarn()
				.addKeyValue("event", "hang-up-not-handled")
				.addKeyValue("reason", String.valueOf(ex.getMessage()))
				.log("this runtime offers no signals; a hang-up ends the process");
		}
	}

}
