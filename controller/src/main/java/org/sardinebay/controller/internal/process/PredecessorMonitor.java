package org.sardinebay.controller.internal.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.internal.version.FailureDetector;
import org.sardinebay.internal.version.WatchDuty;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.SuspicionCall;

/**
 * Asks the controllers for which this one stands by whether they are alive.
 *
 * <pre>{@code
 * silentHosts.tick(duties); // every 100 ms
 * boolean takeOver = duty.active(silentHosts::silent);
 * }</pre>
 */
final class PredecessorMonitor {
  private static final long TAKE_OVER_AFTER_MILLIS = 1_000;
  private static final long ASK_MILLIS = 300;
  private static final Frame QUESTION =
      Frame.newBuilder().setSuspicionCall(SuspicionCall.getDefaultInstance()).build();

  private final ControllerRuntime runtime;
  private final Object lock = new Object();
  private final FailureDetector<HostId> detector;
  private final Map<HostId, Long> lastAsked = new HashMap<>();

  PredecessorMonitor(ControllerRuntime runtime) {
    this.runtime = runtime;
    this.detector = new FailureDetector<>(runtime.clock().millis());
  }

  void tick(List<WatchDuty> duties) {
    Set<ControllerInfo> due = new HashSet<>();
    synchronized (lock) {
      long now = runtime.clock().millis();
      detector.polled(now);
      for (WatchDuty duty : duties) {
        duty.predecessors().stream().filter(other -> due(other.host(), now)).forEach(due::add);
      }
      due.forEach(other -> lastAsked.put(other.host(), now));
    }
    due.forEach(this::ask);
  }

  boolean silent(HostId host) {
    synchronized (lock) {
      boolean asked = lastAsked.containsKey(host);
      long silentMillis = detector.silentMillis(host, runtime.clock().millis());
      return asked && silentMillis >= TAKE_OVER_AFTER_MILLIS;
    }
  }

  private boolean due(HostId host, long now) {
    Long last = lastAsked.get(host);
    if (last == null) {
      detector.answered(host, now);
    }
    return last == null || now - last >= ASK_MILLIS;
  }

  private void ask(ControllerInfo other) {
    CompletableFuture<Void> unused =
        runtime
            .peers()
            .call(other.address(), QUESTION, ASK_MILLIS)
            .thenAccept(result -> take(other.host(), result));
  }

  private void take(HostId host, PeerResult result) {
    if (result instanceof PeerResult.Reply) {
      synchronized (lock) {
        detector.answered(host, runtime.clock().millis());
      }
    }
  }
}
