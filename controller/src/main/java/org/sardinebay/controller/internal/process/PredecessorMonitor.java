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
import org.sardinebay.internal.version.WatchAssignment;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.SuspicionCall;

/**
 * Monitors the predecessors of this controller: the controllers whose databases it takes over when
 * they have not replied for 1,000 ms.
 *
 * <pre>{@code
 * predecessorMonitor.tick(assignments); // every 100 ms
 * boolean takeOver = assignment.active(predecessorMonitor::silent);
 * }</pre>
 */
final class PredecessorMonitor {
  private static final long TAKE_OVER_AFTER_MILLIS = 1_000;
  private static final long PROBE_MILLIS = 300;
  private static final Frame PROBE =
      Frame.newBuilder().setSuspicionCall(SuspicionCall.getDefaultInstance()).build();

  private final ControllerRuntime runtime;
  private final Object lock = new Object();
  private final FailureDetector<HostId> detector;
  private final Map<HostId, Long> lastProbed = new HashMap<>();

  PredecessorMonitor(ControllerRuntime runtime) {
    this.runtime = runtime;
    this.detector = new FailureDetector<>(runtime.clock().millis());
  }

  void tick(List<WatchAssignment> assignments) {
    Set<ControllerInfo> due = new HashSet<>();
    synchronized (lock) {
      long now = runtime.clock().millis();
      detector.onPoll(now);
      for (WatchAssignment assignment : assignments) {
        assignment.predecessors().stream()
            .filter(other -> due(other.host(), now))
            .forEach(due::add);
      }
      due.forEach(other -> lastProbed.put(other.host(), now));
    }
    due.forEach(this::probe);
  }

  boolean silent(HostId host) {
    synchronized (lock) {
      boolean probed = lastProbed.containsKey(host);
      long silentMillis = detector.silentMillis(host, runtime.clock().millis());
      return probed && silentMillis >= TAKE_OVER_AFTER_MILLIS;
    }
  }

  private boolean due(HostId host, long now) {
    Long lastProbe = lastProbed.get(host);
    if (lastProbe == null) {
      // The silence of a new predecessor is measured from its first probe.
      detector.onReply(host, now);
    }
    return lastProbe == null || now - lastProbe >= PROBE_MILLIS;
  }

  private void probe(ControllerInfo other) {
    CompletableFuture<Void> unused =
        runtime
            .peers()
            .call(other.address(), PROBE, PROBE_MILLIS)
            .thenAccept(result -> onReply(other.host(), result));
  }

  private void onReply(HostId host, PeerResult result) {
    if (result instanceof PeerResult.Reply) {
      synchronized (lock) {
        detector.onReply(host, runtime.clock().millis());
      }
    }
  }
}
