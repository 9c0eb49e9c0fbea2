package tinlink.config;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. The JVM has no supported interface for signals; the long-standing unsupported one
 * is accessed by reflection, so that the code compiles without it.
 */
public final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the action on SIGHUP. Without a handler, SIGHUP ends the JVM and loses everything in
     * flight.
     */
    public static void onHangup(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(),
                    new Class<?>[] {handlerType},
                    (self, method, args) -> switch (method.getName()) {
                        case "equals" -> self == args[0];
                        case "hashCode" -> System.identityHashCode(self);
                        case "toString" -> "Hangup";
                        default -> {
                            action.run();
                            yield null;
                        }
                    });
            signal.getMethod("handle", signal, handlerType)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new ConfigException(
                    "environment", "", "this JVM offers no way to handle SIGHUP: " + e);
        }
    }
}
