package org.sardinebay.standins.driver;

import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Optional;

/**
 * The options of the command line.
 *
 * @param deployment the name of a deployment file, without {@code .json}
 * @param deployments the folder of the deployment files
 * @param runs the folder in which the folder of each run is created
 * @param seed the random seed of callers and faults
 * @param seconds the duration of the faults or the load, in seconds
 * @param callers the number of concurrent sessions
 * @param only the only invariant to check; empty for all
 * @param policy the acknowledgement policy
 * @param keep whether the demo keeps its processes running
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

  /**
   * Returns a folder for the settings and logs of one run, named by the deployment, the current
   * time and the process id.
   */
  Path runFolder() {
    String name = deployment + "-" + LocalDateTime.now(ZoneOffset.UTC).format(TIME);
    return runs.resolve(name + "-" + ProcessHandle.current().pid());
  }
}
