package org.sardinebay.gateway.internal.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.PrimaryChangeNeed;
import org.sardinebay.internal.version.ReachabilityReports;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.net.peer.generated.ReachReply;
import org.sardinebay.session.MemberProtocol;

/**
 * Queries whether the other hosts reach members that do not respond to this host, and answers the
 * same query from other hosts.
 *
 * <pre>{@code
 * reachability.queryPeers(service, now);
 * if (!reachability.reachedElsewhere(service, now).isEmpty()) { no change }
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
   * Queries whether the other homes reach the members that refuse this host's connections, or have
   * not replied to it for {@link ReachabilityReports#QUERY_AFTER_MILLIS}.
   *
   * @param service the service
   * @param now the current time by this host's clock, in milliseconds
   */
  public void queryPeers(ServiceRuntime service, long now) {
    ReachabilityReports serviceReports = reportsFor(service);
    List<MemberId> unseen = PrimaryChangeNeed.unseenMembers(service.view());
    serviceReports.retain(unseen);
    for (MemberId id : unseen) {
      if (service.view().member(id).filter(m -> suspected(m, now)).isPresent()
          && serviceReports.queryDue(id, now)) {
        query(service, id, serviceReports);
      }
    }
  }

  /** A change after a refused connection begins early, so the others are queried at once. */
  private static boolean suspected(MemberView member, long now) {
    return member.refusing()
        || member.unreachableMillis(now) >= ReachabilityReports.QUERY_AFTER_MILLIS;
  }

  private void query(ServiceRuntime service, MemberId id, ReachabilityReports serviceReports) {
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
   * Returns the members that other hosts reach and this host doesn't. While there are any, the
   * fault is in a network path, and this host must not change the primary.
   *
   * @param service the service
   * @param now the current time by this host's clock, in milliseconds
   * @return the members that at least as many hosts reach as do not
   */
  public List<MemberId> reachedElsewhere(ServiceRuntime service, long now) {
    ReachabilityReports serviceReports = reportsFor(service);
    return PrimaryChangeNeed.unseenMembers(service.view()).stream()
        .filter(id -> serviceReports.reachedElsewhere(id, now))
        .toList();
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
    } else if (heardRecently(pool.get())) {
      answer.complete(reply(true));
    } else {
      service
          .get()
          .sendControl(
              pool.get(),
              protocol.statusText(),
              status -> answer.complete(reply(status.isPresent() || heardRecently(pool.get()))));
    }
  }

  /** A status that reads like an earlier one is not accepted, but the member has answered. */
  private boolean heardRecently(MemberPool pool) {
    return pool.silenceMillis(clock.millis()) <= RECENTLY_HEARD_MILLIS;
  }

  private static Frame reply(boolean reached) {
    return Frame.newBuilder().setReachReply(ReachReply.newBuilder().setReached(reached)).build();
  }
}
