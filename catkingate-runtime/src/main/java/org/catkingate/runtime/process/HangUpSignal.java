package org.catkingate.runtime.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The hang-up signal (SIGHUP), with which operators request that a process reads its
 * settings file again. The Java virtual machine ends a process that does not handle the
 * signal. The JDK's signal classes are not part of the supported Java API that the
 * compiler checks, so they are used by reflection. Stateless.
 *
 * @since 0.1
 */
public final class HangUpSignal {

	private static final Logger logger = LoggerFactory.getLogger(HangUpSignal.class);

	private HangUpSignal() {
	}

	/**
	 * Registers an action that runs each time the signal is received. If this Java
	 * runtime has no signal classes, logs a warning and does nothing.
	 * @param action the action, called by a thread of the Java virtual machine
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
				.log("this Java runtime does not support signal handlers; a hang-up signal (SIGHUP) will end the process");
		}
	}

}
