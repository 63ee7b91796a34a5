package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The size of a deployment to measure.
 *
 * @param databases the number of databases, each with one member in each failure domain
 * @param hosts the number of entry hosts, spread evenly over the failure domains
 */
record DeploymentSize(int databases, int hosts) {
  private static final List<String> DOMAINS = List.of("north", "middle", "south");
  private static final String REGION = "one";
  private static final int CONNECTION_LIMIT = 20;
  private static final int SLOTS = 3;
  private static final int OPEN_MILLIS = 12;

  /** Returns the label of this size in the output. */
  String label() {
    return "d%d_h%d".formatted(databases, hosts);
  }

  DeploymentSpec spec() {
    return new DeploymentSpec(
        label(),
        "capacity-db",
        "caller-",
        DOMAINS.stream().map(this::domain).toList(),
        IntStream.rangeClosed(1, databases).mapToObj(DeploymentSize::database).toList(),
        CONNECTION_LIMIT,
        SLOTS,
        OPEN_MILLIS,
        new DeploymentSpec.Latency(0, 0, 0),
        List.of());
  }

  private DeploymentSpec.Domain domain(String name) {
    List<String> names =
        IntStream.rangeClosed(1, hosts / DOMAINS.size())
            .mapToObj(host -> name + "-" + host)
            .toList();
    return new DeploymentSpec.Domain(name, REGION, names);
  }

  private static DeploymentSpec.Database database(int number) {
    String id = "capacity-" + number;
    List<DeploymentSpec.Member> members = new ArrayList<>();
    for (String domain : DOMAINS) {
      members.add(new DeploymentSpec.Member(id + "-" + domain, domain));
    }
    return new DeploymentSpec.Database(id, members);
  }
}
