package org.sardinebay.gateway.internal.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.HomeLink;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ReachEvidence;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.net.peer.generated.ReachReply;
import org.sardinebay.session.MemberProtocol;

/**
 * Asks the other hosts whether they reach a primary that is silent towards this one, and answers
 * when they ask.
 *
 * <pre>{@code
 * evidence.collect(service, now);
 * if (evidence.speaksForPrimary(service, now)) { no change }
 * }</pre>
 */
public final class PeerEvidence {
  /** How long an answer may take, in milliseconds: a status question and the way to the host. */
  private static final long ANSWER_MILLIS = 350;

  /** A member that sent a line this long ago, in milliseconds, need not be asked. */
  private static final long JUST_HEARD_MILLIS = 200;

  private final Services services;
  private final Homes homes;
  private final MemberProtocol protocol;
  private final Executor loop;
  private final Clock clock;
  private final Map<String, ReachEvidence> evidence = new HashMap<>();

  /**
   * No evidence yet.
   *
   * @param services the services
   * @param homes the hosts that hold connections to them
   * @param protocol the members' protocol
   * @param loop runs tasks on the loop's thread
   * @param clock the clock
   */
  public PeerEvidence(
      Services services, Homes homes, MemberProtocol protocol, Executor loop, Clock clock) {
    this.services = services;
    this.homes = homes;
    this.protocol = protocol;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Asks the others if the primary has been silent for a while.
   *
   * @param service the service
   * @param now the time
   */
  public void collect(ServiceRuntime service, long now) {
    Optional<MemberView> primary = service.view().primary();
    if (primary.isEmpty() || primary.get().failingMillis(now) < ReachEvidence.FROM_MILLIS) {
      return;
    }
    MemberId id = primary.get().id();
    ReachEvidence known = of(service);
    if (!known.askNow(id, now)) {
      return;
    }
    ReachCall call =
        ReachCall.newBuilder().setService(service.view().service()).setMember(id.value()).build();
    for (HomeLink link : homes.others(service)) {
      link.ask(
          call,
          ANSWER_MILLIS,
          reached -> known.answered(link.host().id(), id, reached, clock.millis()));
    }
  }

  private ReachEvidence of(ServiceRuntime service) {
    return evidence.computeIfAbsent(service.view().service(), name -> new ReachEvidence());
  }

  /**
   * Whether the others' answers speak against a change.
   *
   * @param service the service
   * @param now the time
   * @return true if at least as many hosts reach the primary as do not
   */
  public boolean speaksForPrimary(ServiceRuntime service, long now) {
    return service
        .view()
        .primary()
        .filter(primary -> of(service).speaksForPrimary(primary.id(), now))
        .isPresent();
  }

  /**
   * Answers another host.
   *
   * @param call its question
   * @return the answer
   */
  public CompletableFuture<Frame> answer(ReachCall call) {
    CompletableFuture<Frame> answer = new CompletableFuture<>();
    loop.execute(() -> answer(call, answer));
    return answer;
  }

  private void answer(ReachCall call, CompletableFuture<Frame> answer) {
    MemberId member = new MemberId(call.getMember());
    Optional<ServiceRuntime> service = services.service(call.getService());
    Optional<MemberPool> pool = service.flatMap(s -> s.pool(member));
    boolean failing =
        service.flatMap(s -> s.view().member(member)).map(MemberView::failing).orElse(true);
    if (pool.isEmpty() || failing) {
      answer.complete(reply(false));
    } else if (pool.get().heardMillis(clock.millis()) <= JUST_HEARD_MILLIS) {
      answer.complete(reply(true));
    } else {
      service
          .get()
          .control(
              pool.get(),
              protocol.statusText(),
              status -> answer.complete(reply(status.isPresent())));
    }
  }

  private static Frame reply(boolean reached) {
    return Frame.newBuilder().setReachReply(ReachReply.newBuilder().setReached(reached)).build();
  }
}
