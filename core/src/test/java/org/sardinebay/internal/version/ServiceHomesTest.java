package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.session.RegisteredHost;

class ServiceHomesTest {
  private static final Set<FailureDomain> DOMAINS =
      Set.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));

  private static List<RegisteredHost> hosts(int hostsPerDomain) {
    List<RegisteredHost> hosts = new ArrayList<>();
    for (String domain : List.of("a", "b", "c", "d")) {
      for (int i = 0; i < hostsPerDomain; i++) {
        Address address = new Address("127.0.0.1", 9_000 + hosts.size());
        hosts.add(new RegisteredHost(new HostId(domain + i), new FailureDomain(domain), address));
      }
    }
    return hosts;
  }

  private static List<RegisteredHost> homes(int limit, List<RegisteredHost> hosts) {
    return ServiceHomes.of(ServiceHomes.ranked("orders", DOMAINS, hosts), limit, host -> true);
  }

  @Nested
  class EveryHost {
    @Test
    void should_connect_when_few_hosts_share_the_limit() {
      assertThat(ServiceHomes.everyHostConnects(21, 6)).isTrue();
    }

    @Test
    void should_not_connect_when_the_limit_leaves_fewer_than_two_connections_each() {
      assertThat(ServiceHomes.everyHostConnects(47, 68)).isFalse();
      assertThat(ServiceHomes.everyHostConnects(13, 6)).isFalse();
    }

    @Test
    void should_not_connect_in_a_large_fleet_regardless_of_the_limit() {
      assertThat(ServiceHomes.everyHostConnects(1_000, 68)).isFalse();
    }
  }

  @Nested
  class SelectedHomes {
    @Test
    void should_be_only_in_the_domains_of_the_members() {
      assertThat(homes(47, hosts(17)))
          .hasSize(6)
          .extracting(host -> host.failureDomain().value())
          .containsOnly("a", "b", "c");
    }

    @Test
    void should_be_fewer_when_the_limit_leaves_too_few_connections_each() {
      assertThat(homes(21, hosts(17))).hasSize(3);
      assertThat(homes(4, hosts(17))).hasSize(3);
    }

    @Test
    void should_not_depend_on_the_order_of_the_hosts() {
      List<RegisteredHost> reversed = hosts(17);
      Collections.reverse(reversed);

      assertThat(homes(47, reversed)).isEqualTo(homes(47, hosts(17)));
    }

    @Test
    void should_be_replaced_within_the_domain_when_one_does_not_reply() {
      List<List<RegisteredHost>> ranked = ServiceHomes.ranked("orders", DOMAINS, hosts(17));
      List<RegisteredHost> before = ServiceHomes.of(ranked, 47, host -> true);
      RegisteredHost unresponsive = before.get(0);
      List<RegisteredHost> after = ServiceHomes.of(ranked, 47, host -> !host.equals(unresponsive));

      assertThat(after).hasSize(6).doesNotContain(unresponsive);
      assertThat(after).containsAll(before.subList(1, 6));
    }

    @Test
    void should_be_omitted_in_a_domain_without_hosts() {
      List<RegisteredHost> onlyA =
          hosts(17).stream().filter(host -> host.failureDomain().value().equals("a")).toList();

      assertThat(homes(47, onlyA)).hasSize(2);
    }
  }
}
