package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.sardinebay.Clock;
import org.sardinebay.net.ProgramRunner;

/**
 * Prints the CPU time of a configuration refresh at up to the design size, then starts idle
 * deployments of increasing size, one after the other, and prints the resource usage of each kind
 * of process and its growth per database and per entry host.
 */
final class CapacityCommand implements Command {
  private static final long SETTLE_MILLIS = 8_000;
  private static final long IDLE_MILLIS = 8_000;
  private static final int CONFIGURATION_CHANGES = 7;
  private static final List<DeploymentSize> DATABASE_SERIES =
      List.of(
          new DeploymentSize(1, 3),
          new DeploymentSize(2, 3),
          new DeploymentSize(4, 3),
          new DeploymentSize(8, 3));
  private static final List<DeploymentSize> HOST_SERIES =
      List.of(new DeploymentSize(1, 3), new DeploymentSize(1, 6), new DeploymentSize(1, 12));

  private static final int DESIGN_DATABASES = 650;
  private static final int DESIGN_HOSTS = 430;
  private static final List<Integer> DESIGN_DIVISORS = List.of(8, 4, 2, 1);

  private final Clock clock = Clock.system();

  @Override
  public String summary() {
    return "prints resource usage per kind of process in idle deployments, and growth with size";
  }

  @Override
  public int run(Options options, PrintStream out) throws IOException, InterruptedException {
    printRefreshTimes(out);
    Map<DeploymentSize, Map<Quantity, Double>> measured = new LinkedHashMap<>();
    List<DeploymentSize> sizes = new ArrayList<>(DATABASE_SERIES);
    sizes.addAll(HOST_SERIES);
    for (DeploymentSize size : sizes) {
      if (!measured.containsKey(size)) {
        measured.put(size, measure(size, options, out));
      }
    }
    printSlopes(out, "database", DATABASE_SERIES, DeploymentSize::databases, measured);
    printSlopes(out, "host", HOST_SERIES, DeploymentSize::hosts, measured);
    return ProgramRunner.EXIT_OK;
  }

  private static void printRefreshTimes(PrintStream out) {
    for (int divisor : DESIGN_DIVISORS) {
      RefreshTiming timing = new RefreshTiming(DESIGN_DATABASES / divisor, DESIGN_HOSTS / divisor);
      String label =
          "refresh_d%d_h%d".formatted(DESIGN_DATABASES / divisor, DESIGN_HOSTS / divisor);
      RefreshTiming.Cost cost = timing.measure();
      print(out, label, "views_cpu_ms", cost.mergeMillis());
      print(out, label, "home_order_cpu_ms", cost.homeOrderMillis());
      print(out, label, "duties_cpu_ms", cost.watchAssignmentMillis());
    }
  }

  private Map<Quantity, Double> measure(DeploymentSize size, Options options, PrintStream out)
      throws IOException, InterruptedException {
    try (Deployment deployment =
        Deployment.start(
            size.spec(),
            options.runFolder().resolve(size.label()),
            options.policy(),
            JvmMode.FAST_START)) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      ResourceSample before = ResourceSample.take(deployment, clock);
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
      Map<Quantity, Double> used = ResourceSample.take(deployment, clock).since(before);
      used.forEach((quantity, value) -> print(out, size.label(), quantity.key(), value));
      print(out, size.label(), "machine_load", machineLoad());
      printPropagation(
          out,
          size,
          new ConfigurationPropagation(deployment, clock).measure(CONFIGURATION_CHANGES));
      return used;
    }
  }

  private static void printPropagation(PrintStream out, DeploymentSize size, List<Long> millis) {
    List<Long> sorted = millis.stream().sorted().toList();
    print(out, size.label(), "config_everywhere_p50_ms", sorted.get(sorted.size() / 2));
    print(out, size.label(), "config_everywhere_max_ms", Collections.max(sorted));
  }

  private static void printSlopes(
      PrintStream out,
      String dimension,
      List<DeploymentSize> sizes,
      ToIntFunction<DeploymentSize> count,
      Map<DeploymentSize, Map<Quantity, Double>> measured) {
    for (Quantity quantity : Quantity.values()) {
      LineFit fit =
          LineFit.of(
              sizes.stream()
                  .map(
                      size ->
                          new LineFit.Point(
                              count.applyAsInt(size), measured.get(size).get(quantity)))
                  .toList());
      print(out, "per_" + dimension, quantity.key(), fit.slope());
      print(out, "without_any_" + dimension, quantity.key(), fit.intercept());
    }
  }

  private static double machineLoad() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  private static void print(PrintStream out, String label, String key, double value) {
    out.printf("%s_%s=%.3f%n", label, key, value);
  }
}
