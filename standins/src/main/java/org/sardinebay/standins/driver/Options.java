package org.sardinebay.standins.driver;

import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Optional;

/**
 * The command line's options.
 *
 * @param deployment the name of a file under the folder of deployments
 * @param deployments the folder of deployment files
 * @param runs where run folders are made
 * @param seed the seed of callers and faults
 * @param seconds how long faults or load last
 * @param callers how many sessions run at once
 * @param only the only point to check
 * @param policy the acknowledgement policy
 * @param keep whether the demo leaves its processes running
 */
record Options(
    String deployment,
    Path deployments,
    Path runs,
    long seed,
    int seconds,
    int callers,
    Optional<String> only,
    String policy,
    boolean keep) {
  private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss");

  Path deploymentFile() {
    return deployments.resolve(deployment + ".json");
  }

  /** A folder for one run's settings and logs. */
  Path runFolder() {
    String name = deployment + "-" + LocalDateTime.now(ZoneOffset.UTC).format(TIME);
    return runs.resolve(name + "-" + ProcessHandle.current().pid());
  }
}
