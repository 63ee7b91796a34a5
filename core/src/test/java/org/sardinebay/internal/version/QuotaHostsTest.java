package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.Workspace;

class QuotaHostsTest {
  private static final Workspace WORKSPACE = new Workspace(new WorkspaceId("ws"), 1, 198, 198);
  private final QuotaHosts hosts = new QuotaHosts(host(0).id());

  private static RegisteredHost host(int index) {
    return new RegisteredHost(
        new HostId("host-" + index), new FailureDomain("d"), new Address("10.0.0.1", 1 + index));
  }

  private static List<RegisteredHost> fleet(int size) {
    return IntStream.range(0, size).mapToObj(QuotaHostsTest::host).toList();
  }

  private double shardRate() {
    return QuotaShards.of(WORKSPACE, QuotaRule.DEFAULT, hosts.all(), hosts.complete())
        .share()
        .tokensPerSecond();
  }

  /** Guards against a host that knows no other yet and grants the whole limit. */
  @Test
  void should_keep_a_small_shard_until_the_fleet_is_known() {
    hosts.update(fleet(2), 0);
    assertThat(shardRate()).isEqualTo(198.0 / 18);

    hosts.update(fleet(2), 3_000);
    assertThat(shardRate()).isEqualTo(198.0 / 2);
  }

  @Test
  void should_not_take_the_fleet_to_be_known_before_this_host_is_listed() {
    hosts.update(fleet(3).subList(1, 3), 0);
    hosts.update(fleet(3).subList(1, 3), 60_000);

    assertThat(hosts.complete()).isFalse();
  }

  /** Guards against other keepers while a store that was restored lists only some hosts. */
  @Test
  void should_remember_hosts_that_are_not_listed_for_a_while() {
    hosts.update(fleet(30), 0);
    List<RegisteredHost> few = fleet(5);

    hosts.update(few, 500_000);
    assertThat(hosts.all()).hasSize(30);

    hosts.update(few, 560_001);
    assertThat(hosts.all()).hasSize(5);
  }
}
