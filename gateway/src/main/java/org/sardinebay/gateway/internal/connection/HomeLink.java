package org.sardinebay.gateway.internal.connection;

import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinebay.Clock;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.session.RegisteredHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Another host, as this one calls it for statements, and whether it can be relied upon: one that
 * stays silent while an answer is due is probed, and calls that may be made elsewhere are given up
 * as soon as the probe fails.
 *
 * <pre>{@code
 * link.call(statementCall, timeoutMillis, repeatable, result -> ...);
 * link.tick(now);
 * }</pre>
 */
public final class HomeLink {
  private static final Logger LOG = LoggerFactory.getLogger(HomeLink.class);

  /**
   * After how long without an answer, while one is awaited, the host is probed, in milliseconds:
   * above the work of the longest statements.
   */
  private static final long SILENCE_MILLIS = 350;

  /** How long a probe may take, in milliseconds: round trips between regions and one resend. */
  private static final long PROBE_TIMEOUT_MILLIS = 350;

  /** How often a host that can't be used is probed, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 700;

  private static final StatementCall PROBE = StatementCall.newBuilder().setProbe(true).build();

  private final RegisteredHost host;
  private final Supplier<PeerClient> client;
  private final Eventloop loop;
  private final Clock clock;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long numbers;
  private long heardAt;
  private long probedAt = Long.MIN_VALUE / 2;
  private boolean probing;
  private boolean failing;
  private boolean leaving;

  private record Pending(long sentAt, boolean repeatable, Consumer<PeerResult> done) {}

  /**
   * A link that has not been used.
   *
   * @param host the host
   * @param client sends the calls
   * @param loop the loop that it runs on
   * @param clock the clock
   */
  public HomeLink(RegisteredHost host, Supplier<PeerClient> client, Eventloop loop, Clock clock) {
    this.host = host;
    this.client = client;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * The host.
   *
   * @return its entry
   */
  public RegisteredHost host() {
    return host;
  }

  /**
   * Whether new statements may be sent there.
   *
   * @return false while it does not answer or is about to stop
   */
  public boolean usable() {
    return !failing && !leaving;
  }

  /**
   * Makes one call.
   *
   * @param call the call
   * @param timeoutMillis how long the answer may take
   * @param repeatable whether the caller of this method can make it elsewhere: such a call is given
   *     up once the host is known not to answer
   * @param done takes the result on the loop's thread; called once
   */
  public void call(
      StatementCall call, long timeoutMillis, boolean repeatable, Consumer<PeerResult> done) {
    long number = ++numbers;
    pending.put(number, new Pending(clock.millis(), repeatable, done));
    send(call, timeoutMillis, result -> answered(number, result));
  }

  /**
   * Asks the host whether it reaches a member.
   *
   * @param call the member
   * @param timeoutMillis how long the answer may take
   * @param done takes the answer on the loop's thread, false if there is none; called once
   */
  public void ask(ReachCall call, long timeoutMillis, Consumer<Boolean> done) {
    send(
        Frame.newBuilder().setReachCall(call).build(),
        timeoutMillis,
        result ->
            done.accept(
                result instanceof PeerResult.Reply reply
                    && reply.frame().getReachReply().getReached()));
  }

  private void send(StatementCall call, long timeoutMillis, Consumer<PeerResult> done) {
    send(Frame.newBuilder().setStatementCall(call).build(), timeoutMillis, done);
  }

  private void send(Frame frame, long timeoutMillis, Consumer<PeerResult> done) {
    CompletableFuture<Void> unused =
        client
            .get()
            .call(host.peers(), frame, timeoutMillis)
            .thenAccept(result -> loop.execute(() -> done.accept(result)));
  }

  private void answered(long number, PeerResult result) {
    Pending call = pending.remove(number);
    note(result);
    if (call != null) {
      call.done().accept(result);
    }
  }

  private void note(PeerResult result) {
    if (result instanceof PeerResult.Reply reply && reply.frame().hasStatementReply()) {
      heardAt = clock.millis();
      StatementReply answer = reply.frame().getStatementReply();
      if (failing) {
        LOG.atInfo().setMessage("home_regained").addKeyValue("host", host.id()).log();
      }
      failing = false;
      leaving = answer.getLeaving();
    } else if (!failing) {
      failing = true;
      LOG.atWarn()
          .setMessage("home_lost")
          .addKeyValue("host", host.id())
          .addKeyValue("address", host.peers())
          .addKeyValue("result", result.getClass().getSimpleName())
          .addKeyValue("heard_millis_ago", clock.millis() - heardAt)
          .addKeyValue("calls", pending.size())
          .log();
    }
  }

  /**
   * Probes the host when it is silent, or to see whether it can be used again.
   *
   * @param now the time
   */
  public void tick(long now) {
    boolean silent =
        now - heardAt >= SILENCE_MILLIS
            && pending.values().stream().anyMatch(call -> now - call.sentAt() >= SILENCE_MILLIS);
    boolean due = now - probedAt >= PROBE_INTERVAL_MILLIS;
    if (probing || !(silent || (!usable() && due))) {
      return;
    }
    probing = true;
    probedAt = now;
    send(PROBE, PROBE_TIMEOUT_MILLIS, this::probed);
  }

  private void probed(PeerResult result) {
    probing = false;
    note(result);
    if (!failing) {
      return;
    }
    List<Long> repeatable =
        pending.entrySet().stream()
            .filter(entry -> entry.getValue().repeatable())
            .map(Map.Entry::getKey)
            .toList();
    repeatable.forEach(number -> pending.remove(number).done().accept(new PeerResult.NoReply()));
  }
}
