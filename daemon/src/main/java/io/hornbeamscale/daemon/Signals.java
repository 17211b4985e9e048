package io.hornbeamscale.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Installs signal handlers, for which the JVM has no public interface. Without a handler, SIGHUP terminates the JVM.
 * The JDK's internal class is accessed by reflection, since the compiler rejects a direct reference.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs a task whenever a signal arrives. Logs an error if the handler cannot be installed.
     *
     * @param name the name of the signal without SIG, such as HUP
     * @param task the task, which runs on a thread of the JVM
     */
    static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocations = (proxy, method, args) -> {
                if (method.getName().equals("handle")) {
                    task.run();
                }
                return null;
            };
            Object listener =
                    Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, invocations);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), listener);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LogManager.getLogger("process").error("Installing a handler for SIG" + name + " failed.", e);
        }
    }
}
