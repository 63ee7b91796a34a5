package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.StoreWatchers.Nearness;
import org.sardinebay.session.RegisteredHost;

/**
 * If every host of a large fleet watched the store closely, and polled the others in the same
 * order, the store's calls would grow with the fleet and one host would answer all polls.
 */
class StoreWatchersTest {
  private static final int DOMAINS = 6;
  private static final int HOSTS = 96;

  private static List<RegisteredHost> fleet(int size) {
    List<RegisteredHost> hosts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      hosts.add(
          new RegisteredHost(
              new HostId("host-" + i), domain(i), new Address("127.0.0.1", 10_000 + i)));
    }
    return hosts;
  }

  private static FailureDomain domain(int host) {
    return new FailureDomain("hall-" + host % DOMAINS);
  }

  @Nested
  class Watchers {
    @Test
    void should_be_all_hosts_of_a_small_fleet() {
      List<RegisteredHost> hosts = fleet(12);

      assertThat(hosts).allMatch(host -> StoreWatchers.watchesClosely(host.id(), hosts));
    }

    @Test
    void should_be_two_hosts_of_each_failure_domain_of_a_large_fleet() {
      List<RegisteredHost> hosts = fleet(HOSTS);

      Map<FailureDomain, Integer> perDomain = new HashMap<>();
      hosts.stream()
          .filter(host -> StoreWatchers.watchesClosely(host.id(), hosts))
          .forEach(host -> perDomain.merge(host.failureDomain(), 1, Integer::sum));

      assertThat(perDomain).hasSize(DOMAINS).allSatisfy((domain, count) -> assertTwo(count));
    }

    private void assertTwo(int count) {
      assertThat(count).isEqualTo(2);
    }

    @Test
    void should_include_a_host_that_is_not_registered_yet() {
      assertThat(StoreWatchers.watchesClosely(new HostId("new"), fleet(HOSTS))).isTrue();
    }
  }

  @Nested
  class Sources {
    private final List<RegisteredHost> hosts = fleet(HOSTS);

    @Test
    void should_be_the_watchers_of_the_own_domain_or_of_the_others() {
      RegisteredHost self = hosts.get(0);

      assertThat(sources(self, Nearness.OWN_DOMAIN))
          .isNotEmpty()
          .allMatch(host -> host.failureDomain().equals(self.failureDomain()));
      assertThat(sources(self, Nearness.OTHER_DOMAINS))
          .hasSize(2 * (DOMAINS - 1))
          .noneMatch(host -> host.failureDomain().equals(self.failureDomain()));
    }

    @Test
    void should_not_contain_the_host_itself() {
      assertThat(hosts)
          .allSatisfy(self -> assertThat(sources(self, Nearness.OWN_DOMAIN)).doesNotContain(self));
    }

    @Test
    void should_spread_the_polls_of_a_fleet_over_the_watchers() {
      Map<HostId, Integer> polls = new HashMap<>();
      for (RegisteredHost self : hosts) {
        HostId first = sources(self, Nearness.OTHER_DOMAINS).get(0).id();
        polls.merge(first, 1, Integer::sum);
      }

      int watchers = 2 * DOMAINS;
      assertThat(polls).hasSizeGreaterThan(watchers * 2 / 3);
      assertThat(polls.values()).allMatch(count -> count <= 3 * HOSTS / watchers);
    }

    private List<RegisteredHost> sources(RegisteredHost self, Nearness nearness) {
      return StoreWatchers.sources(self.id(), self.failureDomain(), hosts, nearness);
    }
  }
}
