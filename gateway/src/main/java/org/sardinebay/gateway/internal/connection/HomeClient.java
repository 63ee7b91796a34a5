package org.sardinebay.gateway.internal.connection;

import io.activej.eventloop.Eventloop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sardinebay.Clock;
import org.sardinebay.internal.process.PeerLiveness;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.QuotaCall;
import org.sardinebay.net.peer.generated.QuotaReply;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.session.RegisteredHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Calls another host to run statements, and tracks whether that host can be used. A host that does
 * not respond while calls are pending is probed; when the probe fails, the pending calls that can
 * be retried elsewhere fail immediately.
 *
 * <pre>{@code
 * client.call(statementCall, timeoutMillis, retryable, result -> ...);
 * client.tick(now);
 * }</pre>
 */
public final class HomeClient {
  private static final Logger LOG = LoggerFactory.getLogger(HomeClient.class);

  /** Timeout of a probe, in milliseconds: round trips between regions and one retransmission. */
  private static final long PROBE_TIMEOUT_MILLIS = 350;

  private static final StatementCall PROBE = StatementCall.newBuilder().setProbe(true).build();

  private final RegisteredHost host;
  private final Supplier<PeerClient> client;
  private final Eventloop loop;
  private final Clock clock;
  private final LongSupplier ownLagMillis;
  private final PeerLiveness liveness = new PeerLiveness();

  /** The calls without an answer, oldest first. */
  private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();

  private long lastCallNumber;
  private boolean leaving;

  private record PendingCall(long sentAt, boolean retryable, Consumer<PeerResult> done) {}

  /**
   * Creates a client that has not made a call.
   *
   * @param host the host
   * @param client sends the calls
   * @param loop the event loop that the client runs on
   * @param clock the clock
   * @param ownLagMillis how late the event loop ran its periodic work recently, in milliseconds
   */
  public HomeClient(
      RegisteredHost host,
      Supplier<PeerClient> client,
      Eventloop loop,
      Clock clock,
      LongSupplier ownLagMillis) {
    this.ownLagMillis = ownLagMillis;
    this.host = host;
    this.client = client;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Returns the host.
   *
   * @return the host's entry
   */
  public RegisteredHost host() {
    return host;
  }

  /**
   * Whether new statements may be sent to the host.
   *
   * @return false while the host does not answer or is shutting down
   */
  public boolean usable() {
    return !liveness.lost() && !leaving;
  }

  /**
   * Whether other hosts should be preferred to this one.
   *
   * @return true while the host does not answer, whether or not it is already considered lost
   */
  public boolean suspected() {
    return liveness.suspected();
  }

  /**
   * Sends a statement call.
   *
   * @param call the call
   * @param timeoutMillis how long the answer may take
   * @param retryable whether the call can be retried elsewhere; such a call fails early once the
   *     host is known not to answer
   * @param done receives the result on the event loop's thread; called once
   */
  public void call(
      StatementCall call, long timeoutMillis, boolean retryable, Consumer<PeerResult> done) {
    long callNumber = ++lastCallNumber;
    pendingCalls.put(callNumber, new PendingCall(clock.millis(), retryable, done));
    send(call, timeoutMillis, result -> onResult(callNumber, result));
  }

  /**
   * Queries whether the host reaches a member.
   *
   * @param call names the member
   * @param timeoutMillis how long the answer may take
   * @param done receives the answer on the event loop's thread, false if there is none; called once
   */
  public void queryReachability(ReachCall call, long timeoutMillis, Consumer<Boolean> done) {
    send(
        Frame.newBuilder().setReachCall(call).build(),
        timeoutMillis,
        result ->
            done.accept(
                result instanceof PeerResult.Reply reply
                    && reply.frame().getReachReply().getReached()));
  }

  /**
   * Asks the host for tokens of a workspace's quota. An answer counts as a sign of life.
   *
   * @param call names the workspace and the number of tokens
   * @param timeoutMillis how long the answer may take
   * @param done receives the answer on the event loop's thread, empty if there is none; called once
   */
  public void requestTokens(
      QuotaCall call, long timeoutMillis, Consumer<Optional<QuotaReply>> done) {
    send(
        Frame.newBuilder().setQuotaCall(call).build(),
        timeoutMillis,
        result -> {
          updateState(result, () -> {});
          done.accept(
              result instanceof PeerResult.Reply reply && reply.frame().hasQuotaReply()
                  ? Optional.of(reply.frame().getQuotaReply())
                  : Optional.empty());
        });
  }

  private void send(StatementCall call, long timeoutMillis, Consumer<PeerResult> done) {
    send(Frame.newBuilder().setStatementCall(call).build(), timeoutMillis, done);
  }

  private void send(Frame frame, long timeoutMillis, Consumer<PeerResult> done) {
    CompletableFuture<Void> unused =
        client
            .get()
            .call(host.peerAddress(), frame, timeoutMillis)
            .thenAccept(result -> loop.execute(() -> done.accept(result)));
  }

  private void onResult(long callNumber, PeerResult result) {
    PendingCall call = pendingCalls.remove(callNumber);
    if (call != null) {
      updateState(result, () -> liveness.onCallUnanswered(call.sentAt(), clock.millis()));
      call.done().accept(result);
    }
  }

  private void updateState(PeerResult result, Runnable onNoReply) {
    boolean wasLost = liveness.lost();
    long now = clock.millis();
    OptionalLong silentMillis = liveness.silentMillis(now);
    if (result instanceof PeerResult.Reply reply && reply.frame().hasStatementReply()) {
      liveness.onAnswer(now);
      leaving = reply.frame().getStatementReply().getLeaving();
    } else if (result instanceof PeerResult.Reply reply && reply.frame().hasQuotaReply()) {
      liveness.onAnswer(now);
    } else if (result instanceof PeerResult.NotSent) {
      liveness.onUnreachable();
    } else {
      onNoReply.run();
    }
    if (wasLost && !liveness.lost()) {
      LOG.atInfo().setMessage("home_regained").addKeyValue("host", host.id()).log();
    } else if (!wasLost && liveness.lost()) {
      logLost(result, silentMillis);
    }
  }

  private void logLost(PeerResult result, OptionalLong silentMillis) {
    LoggingEventBuilder event =
        LOG.atWarn()
            .setMessage("home_lost")
            .addKeyValue("host", host.id())
            .addKeyValue("address", host.peerAddress())
            .addKeyValue("result", result.getClass().getSimpleName())
            .addKeyValue("own_lag_millis", ownLagMillis.getAsLong())
            .addKeyValue("calls", pendingCalls.size());
    if (silentMillis.isPresent()) {
      event.addKeyValue("heard_millis_ago", silentMillis.getAsLong()).log();
    } else {
      event.log();
    }
  }

  /**
   * Probes the host when it does not respond, or to find out whether it is usable again.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    OptionalLong oldestPendingAt =
        pendingCalls.values().stream().mapToLong(PendingCall::sentAt).findFirst();
    if (!liveness.probeDue(now, oldestPendingAt) && !(leaving && liveness.regularProbeDue(now))) {
      return;
    }
    liveness.onProbeSent(now);
    send(PROBE, PROBE_TIMEOUT_MILLIS, this::onProbeResult);
  }

  private void onProbeResult(PeerResult result) {
    liveness.onProbeEnded();
    updateState(result, () -> liveness.onProbeUnanswered(clock.millis(), ownLagMillis.getAsLong()));
    if (!liveness.suspected()) {
      return;
    }
    List<Long> retryable =
        pendingCalls.entrySet().stream()
            .filter(entry -> entry.getValue().retryable())
            .map(Map.Entry::getKey)
            .toList();
    retryable.forEach(
        callNumber -> pendingCalls.remove(callNumber).done().accept(new PeerResult.NoReply()));
  }
}
