package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.RegisteredHost;

/**
 * Orders the homes of a service for the statements of a workspace. Addresses a load of many
 * workspaces on few connections: all hosts send the statements of a workspace to the same home of a
 * failure domain, so that the home's connections of the workspace are reused. A few workspaces are
 * so large that this would leave the homes with very different loads, so their statements go to the
 * home to which this host has sent least: such a workspace keeps connections in use at each home.
 *
 * <pre>{@code
 * List<RegisteredHost> order = workspaceHomes.order(service, workspace, homes, nearPrimary, now);
 * workspaceHomes.sent(service, workspace, order.get(0).id(), now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class WorkspaceHomes {
  /**
   * A workspace is large if its share of the statements that this host has forwarded is at least
   * one in this number. Two homes of 43 workspaces whose sizes follow Zipf's law with an exponent
   * of 1.2 can differ by about one large workspace.
   */
  private static final int LARGE_SHARE_DIVISOR = 10;

  /** A workspace with fewer statements is not regarded as large, whatever its share. */
  private static final int MIN_STATEMENTS = 3;

  /** The counts are halved at this interval, in milliseconds: some 60 statements of one host. */
  private static final long HALF_LIFE_MILLIS = 10_000;

  private final Map<WorkspaceId, Double> sentByWorkspace = new HashMap<>();
  private final Map<Target, Double> sentByHome = new HashMap<>();
  private double sent;
  private long halvedAt = Long.MIN_VALUE / 2;

  private record Target(String service, HostId home) {}

  /**
   * Returns the failure domain of the primary according to the registry, which hosts without
   * connections to the members know as well. It may be out of date for a moment.
   *
   * @param members the members of the service
   * @return the failure domain, empty unless exactly one registered member calls itself the primary
   */
  public static Optional<FailureDomain> primaryDomain(Collection<MemberView> members) {
    List<FailureDomain> domains =
        members.stream()
            .map(MemberView::entry)
            .filter(entry -> entry.role() == MemberRole.PRIMARY && !entry.expired())
            .map(MemberEntry::failureDomain)
            .toList();
    return domains.size() == 1 ? Optional.of(domains.get(0)) : Optional.empty();
  }

  /**
   * Orders the homes for a statement.
   *
   * @param service the service
   * @param workspace the statement's workspace
   * @param homes the usable homes, nearest first
   * @param firstDomain the failure domain whose homes come first, if they should not be the nearest
   * @param now the current time in milliseconds
   * @return the homes, the one to use first
   */
  public List<RegisteredHost> order(
      String service,
      WorkspaceId workspace,
      List<RegisteredHost> homes,
      Optional<FailureDomain> firstDomain,
      long now) {
    decay(now);
    Map<FailureDomain, List<RegisteredHost>> byDomain = new LinkedHashMap<>();
    firstDomain.ifPresent(domain -> byDomain.put(domain, new ArrayList<>()));
    for (RegisteredHost home : homes) {
      byDomain.computeIfAbsent(home.failureDomain(), domain -> new ArrayList<>()).add(home);
    }
    List<RegisteredHost> order = new ArrayList<>();
    byDomain
        .values()
        .forEach(inDomain -> order.addAll(orderInDomain(service, workspace, inDomain)));
    return order;
  }

  private List<RegisteredHost> orderInDomain(
      String service, WorkspaceId workspace, List<RegisteredHost> homes) {
    if (homes.size() < 2) {
      return homes;
    }
    List<RegisteredHost> byHash =
        RendezvousOrder.of(service + " " + workspace.value(), homes, home -> home.id().value());
    if (!large(workspace)) {
      return byHash;
    }
    return byHash.stream()
        .sorted(
            Comparator.comparingDouble(
                home -> sentByHome.getOrDefault(new Target(service, home.id()), 0.0)))
        .toList();
  }

  private boolean large(WorkspaceId workspace) {
    double count = sentByWorkspace.getOrDefault(workspace, 0.0);
    return count >= MIN_STATEMENTS && count * LARGE_SHARE_DIVISOR >= sent;
  }

  /**
   * Records that a statement was sent to a home.
   *
   * @param service the service
   * @param workspace the statement's workspace
   * @param home the home
   * @param now the current time in milliseconds
   */
  public void sent(String service, WorkspaceId workspace, HostId home, long now) {
    decay(now);
    sent++;
    sentByWorkspace.merge(workspace, 1.0, Double::sum);
    sentByHome.merge(new Target(service, home), 1.0, Double::sum);
  }

  private void decay(long now) {
    if (now - halvedAt < HALF_LIFE_MILLIS) {
      return;
    }
    halvedAt = now;
    sent /= 2;
    halve(sentByWorkspace);
    halve(sentByHome);
  }

  /** Halves the counts and forgets what was last sent long ago. */
  private static <K> void halve(Map<K, Double> counts) {
    counts.replaceAll((key, count) -> count / 2);
    counts.values().removeIf(count -> count < 0.1);
  }
}
