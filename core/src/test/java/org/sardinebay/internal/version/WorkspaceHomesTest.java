package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.RegisteredHost;

class WorkspaceHomesTest {
  private static final RegisteredHost NEAR_1 = host("near-1", "near");
  private static final RegisteredHost NEAR_2 = host("near-2", "near");
  private static final RegisteredHost FAR_1 = host("far-1", "far");
  private static final RegisteredHost FAR_2 = host("far-2", "far");
  private static final List<RegisteredHost> HOMES = List.of(NEAR_2, NEAR_1, FAR_1, FAR_2);
  private static final int SENDERS = 29;
  private static final WorkspaceId SMALL = workspace(8);

  private final WorkspaceHomes homes = new WorkspaceHomes();

  private static RegisteredHost host(String name, String domain) {
    return new RegisteredHost(
        new HostId(name), new FailureDomain(domain), new Address("127.0.0.1", 1));
  }

  private static WorkspaceId workspace(int rank) {
    return new WorkspaceId("workspace-" + rank);
  }

  @Test
  void should_order_the_homes_of_a_domain_alike_on_all_hosts_and_near_ones_first() {
    for (int rank = 1; rank <= 86; rank++) {
      List<RegisteredHost> order =
          homes.order("orders", workspace(rank), HOMES, Optional.empty(), 0);
      assertThat(order).hasSize(4);
      assertThat(order.subList(0, 2)).containsExactlyInAnyOrder(NEAR_1, NEAR_2);
      assertThat(
              new WorkspaceHomes()
                  .order(
                      "orders",
                      workspace(rank),
                      List.of(FAR_2, FAR_1, NEAR_1, NEAR_2),
                      Optional.of(new FailureDomain("near")),
                      0))
          .isEqualTo(order);
    }
  }

  @Test
  void should_move_the_workspaces_of_a_lost_home_to_the_next_one() {
    List<RegisteredHost> order = homes.order("orders", workspace(7), HOMES, Optional.empty(), 0);
    List<RegisteredHost> left = HOMES.stream().filter(home -> !home.equals(order.get(0))).toList();

    assertThat(homes.order("orders", workspace(7), left, Optional.empty(), 0).get(0))
        .isEqualTo(order.get(1));
  }

  /** Guards against a home that gets all statements of the few large workspaces. */
  @Test
  void should_balance_the_homes_and_keep_small_workspaces_at_one_of_them() {
    Map<HostId, Integer> sent = new HashMap<>();
    Map<HostId, Integer> small = new HashMap<>();
    List<WorkspaceHomes> senders =
        IntStream.range(0, SENDERS).mapToObj(i -> new WorkspaceHomes()).toList();
    Random random = new Random(20_261_204);
    for (int i = 0; i < 20_000; i++) {
      // 29 hosts of a failure domain send 188 statements a second altogether.
      long now = i * 1_000L / 188;
      WorkspaceHomes sender = senders.get(random.nextInt(SENDERS));
      WorkspaceId workspace = workspace(zipf(random));
      String service = "service-" + random.nextInt(6);
      HostId home =
          sender
              .order(service, workspace, List.of(NEAR_1, NEAR_2), Optional.empty(), now)
              .get(0)
              .id();
      sender.sent(service, workspace, home, now);
      sent.merge(home, 1, Integer::sum);
      if (service.equals("service-0") && workspace.equals(SMALL)) {
        small.merge(home, 1, Integer::sum);
      }
    }
    assertThat(sent.get(NEAR_1.id())).isBetween(9_000, 11_000);
    assertThat(small).hasSize(1);
  }

  private static int zipf(Random random) {
    double sum = IntStream.rangeClosed(1, 86).mapToDouble(i -> Math.pow(i, -1.2)).sum();
    double at = random.nextDouble() * sum;
    int rank = 0;
    while (at > 0 && rank < 86) {
      at -= Math.pow(++rank, -1.2);
    }
    return rank;
  }
}
