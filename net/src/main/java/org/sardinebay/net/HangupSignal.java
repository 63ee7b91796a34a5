package org.sardinebay.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which would otherwise terminate the JVM. The JDK's signal API is called by
 * reflection because no compiler flag permits its direct use.
 */
final class HangupSignal {
  private static final Logger LOG = LoggerFactory.getLogger(HangupSignal.class);

  private HangupSignal() {}

  /**
   * Installs a handler.
   *
   * @param onSignal called on a JVM thread
   */
  static void handle(Runnable onSignal) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocation =
          (proxy, method, args) -> {
            if (method.getName().equals("handle")) {
              onSignal.run();
            }
            return null;
          };
      Object instance =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), instance);
    } catch (ReflectiveOperationException e) {
      LOG.atWarn().setMessage("hangup_not_handled").addKeyValue("cause", e.getMessage()).log();
    }
  }
}
