package org.sardinebay.gateway.internal.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ReachabilityReports;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.net.peer.generated.ReachReply;
import org.sardinebay.session.MemberProtocol;

/**
 * Queries whether the other hosts reach a primary that does not respond to this host, and answers
 * the same query from other hosts.
 *
 * <pre>{@code
 * reachability.queryPeers(service, now);
 * if (reachability.peersReachPrimary(service, now)) { no change }
 * }</pre>
 */
public final class PeerReachability {
  /**
   * Timeout of an answer, in milliseconds: covers a status query and the round trip to the host.
   */
  private static final long ANSWER_TIMEOUT_MILLIS = 350;

  /**
   * A member that sent a line within this time, in milliseconds, counts as reached without a status
   * query.
   */
  private static final long RECENTLY_HEARD_MILLIS = 200;

  private final Services services;
  private final Homes homes;
  private final MemberProtocol protocol;
  private final Executor loop;
  private final Clock clock;
  private final Map<String, ReachabilityReports> reports = new HashMap<>();

  /**
   * Creates an instance without reports.
   *
   * @param services the services
   * @param homes the hosts that hold connections to the members of the services
   * @param protocol the members' protocol
   * @param loop runs tasks on the event loop's thread
   * @param clock the clock
   */
  public PeerReachability(
      Services services, Homes homes, MemberProtocol protocol, Executor loop, Clock clock) {
    this.services = services;
    this.homes = homes;
    this.protocol = protocol;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Queries whether the other homes reach the primary, if it has been unreachable from this host
   * for {@link ReachabilityReports#QUERY_AFTER_MILLIS}.
   *
   * @param service the service
   * @param now the current time by this host's clock, in milliseconds
   */
  public void queryPeers(ServiceRuntime service, long now) {
    Optional<MemberView> primary = service.view().primary();
    if (primary.isEmpty()
        || primary.get().unreachableMillis(now) < ReachabilityReports.QUERY_AFTER_MILLIS) {
      return;
    }
    MemberId id = primary.get().id();
    ReachabilityReports serviceReports = reportsFor(service);
    if (!serviceReports.queryDue(id, now)) {
      return;
    }
    ReachCall call =
        ReachCall.newBuilder().setService(service.view().service()).setMember(id.value()).build();
    for (HomeClient client : homes.otherHomes(service)) {
      client.queryReachability(
          call,
          ANSWER_TIMEOUT_MILLIS,
          reached -> serviceReports.onReply(client.host().id(), id, reached, clock.millis()));
    }
  }

  private ReachabilityReports reportsFor(ServiceRuntime service) {
    return reports.computeIfAbsent(service.view().service(), name -> new ReachabilityReports());
  }

  /**
   * Whether the other hosts' answers mean that the primary should not be replaced.
   *
   * @param service the service
   * @param now the current time by this host's clock, in milliseconds
   * @return true if at least as many hosts reach the primary as do not
   */
  public boolean peersReachPrimary(ServiceRuntime service, long now) {
    return service
        .view()
        .primary()
        .filter(primary -> reportsFor(service).primaryReachableElsewhere(primary.id(), now))
        .isPresent();
  }

  /**
   * Answers another host's query whether this host reaches a member.
   *
   * @param call the query
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
    boolean unreachable =
        service.flatMap(s -> s.view().member(member)).map(MemberView::unreachable).orElse(true);
    if (pool.isEmpty() || unreachable) {
      answer.complete(reply(false));
    } else if (pool.get().silenceMillis(clock.millis()) <= RECENTLY_HEARD_MILLIS) {
      answer.complete(reply(true));
    } else {
      service
          .get()
          .sendControl(
              pool.get(),
              protocol.statusText(),
              status -> answer.complete(reply(status.isPresent())));
    }
  }

  private static Frame reply(boolean reached) {
    return Frame.newBuilder().setReachReply(ReachReply.newBuilder().setReached(reached)).build();
  }
}
