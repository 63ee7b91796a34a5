package org.sardinebay.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise terminate the JVM. The JDK's signal API is called by
 * reflection because no compiler flag permits its direct use.
 *
 * <pre>{@code
 * HangupSignal.ignore();
 * System.exit(ProgramRunner.run(program, args));
 * }</pre>
 *
 * <p>The class loads no logger, so that the signal is ignored as early as possible.
 */
public final class HangupSignal {
  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Ignores the signal until a handler is installed. A program calls this before anything else: it
   * reads its settings later, so a signal that is ignored until then announces nothing new.
   */
  public static void ignore() {
    try {
      install(Class.forName(HANDLER).getField("SIG_IGN").get(null));
    } catch (ReflectiveOperationException e) {
      // ProgramRunner logs that the signal can't be handled.
      return;
    }
  }

  /**
   * Installs a handler.
   *
   * @param onSignal called on a JVM thread
   * @return false if the JDK's signal API is not available
   */
  static boolean handle(Runnable onSignal) {
    InvocationHandler invocation =
        (proxy, method, args) -> {
          if (method.getName().equals("handle")) {
            onSignal.run();
          }
          return null;
        };
    try {
      Class<?> handler = Class.forName(HANDLER);
      install(
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation));
      return true;
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }

  private static void install(Object handler) throws ReflectiveOperationException {
    Class<?> signal = Class.forName(SIGNAL);
    signal
        .getMethod("handle", signal, Class.forName(HANDLER))
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
  }
}
