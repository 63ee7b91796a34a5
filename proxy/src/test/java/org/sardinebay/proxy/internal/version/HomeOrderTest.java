package org.sardinebay.proxy.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;
import org.sardinebay.internal.version.ConfigSnapshot;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.proxy.internal.process.ProxyIdentity;
import org.sardinebay.record.AckPolicyName;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;
import org.sardinebay.record.ProxyRecord;

class HomeOrderTest {
  private static final FailureDomain WACO = new FailureDomain("waco-hall");
  private static final FailureDomain LUBBOCK = new FailureDomain("lubbock-hall");
  private static final FailureDomain DAVAO = new FailureDomain("davao-hall");
  private static final Address ADDRESS = new Address("127.0.0.1", 7000);
  private static final DatabaseRecord DATABASE =
      new DatabaseRecord(
          new DatabaseId("contracts-1"),
          "contracts-db",
          List.of(
              new MemberRecord(new MemberId("a"), ADDRESS, WACO),
              new MemberRecord(new MemberId("b"), ADDRESS, LUBBOCK)),
          20,
          3,
          AckPolicyName.MAJORITY);

  private static ProxyRecord proxy(String host, FailureDomain domain) {
    return new ProxyRecord(new HostId(host), domain, ADDRESS, ADDRESS, Optional.empty());
  }

  private static HomeOrder order(String self, FailureDomain domain, List<HostEntry> hosts) {
    Map<HostId, ProxyRecord> proxies = new HashMap<>();
    for (String host : List.of("waco-1", "waco-2", "waco-3")) {
      proxies.put(new HostId(host), proxy(host, WACO));
    }
    proxies.put(new HostId("lubbock-1"), proxy("lubbock-1", LUBBOCK));
    ConfigSnapshot configSnapshot =
        new ConfigSnapshot(Map.of(DATABASE.id(), DATABASE), proxies, List.of(), hosts, 0);
    return new HomeOrder(configSnapshot, new ProxyIdentity(new HostId(self), domain));
  }

  private static List<String> hosts(HomeOrder order) {
    return order.homes(DATABASE).stream().map(home -> home.host().value()).toList();
  }

  @Nested
  class Homes {
    @Test
    void should_try_the_own_failure_domain_first() {
      assertThat(hosts(order("waco-1", WACO, List.of())).get(0)).startsWith("waco");
      assertThat(hosts(order("lubbock-1", LUBBOCK, List.of())).get(0)).startsWith("lubbock");
    }

    @Test
    void should_have_at_most_two_homes_in_a_domain() {
      List<String> homes = hosts(order("waco-1", WACO, List.of()));

      assertThat(homes).hasSize(3).contains("lubbock-1");
    }

    @Test
    void should_be_the_same_on_every_proxy_of_a_domain() {
      List<String> onOneProxy = hosts(order("waco-1", WACO, List.of()));
      List<String> onAnotherProxy = hosts(order("waco-3", WACO, List.of()));

      assertThat(onOneProxy).isEqualTo(onAnotherProxy);
    }

    @Test
    void should_skip_leaving_hosts() {
      String first = hosts(order("waco-1", WACO, List.of())).get(0);
      List<HostEntry> listed =
          List.of("waco-1", "waco-2", "waco-3").stream()
              .map(host -> new HostEntry(host, WACO, host.equals(first)))
              .toList();

      assertThat(hosts(order("waco-1", WACO, listed))).doesNotContain(first);
    }
  }

  @Nested
  class Ranks {
    @Test
    void should_give_no_rank_in_a_domain_without_members() {
      assertThat(order("davao-1", DAVAO, List.of()).rank(DATABASE)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void should_rank_one_first_home_and_one_standby() {
      List<Integer> ranks =
          List.of("waco-1", "waco-2", "waco-3").stream()
              .map(host -> order(host, WACO, List.of()).rank(DATABASE))
              .toList();

      assertThat(ranks).containsExactlyInAnyOrder(0, 1, Integer.MAX_VALUE);
    }
  }
}
