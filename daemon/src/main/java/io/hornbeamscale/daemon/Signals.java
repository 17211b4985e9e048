package io.hornbeamscale.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Handles signals for which the JVM offers no public interface. Without a handler, the JVM ends on SIGHUP. Reflection
 * is
 * used since the compiler refuses the JDK's internal class by name.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs a task on a signal.
     *
     * @param name the name of the signal without SIG, such as HUP
     * @param task runs on a thread of the JVM
     */
    static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler calls = (proxy, method, args) -> {
                if (method.getName().equals("handle")) {
                    task.run();
                }
                return null;
            };
            Object listener = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, calls);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), listener);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LogManager.getLogger("process").error("The signal SIG" + name + " has no handler.", e);
        }
    }
}
