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
 * Starts idle deployments of increasing size, one after the other, and prints the resource usage of
 * each kind of process and its growth per database and per entry host.
 */
final class CapacityCommand implements Command {
  private static final long SETTLE_MILLIS = 8_000;
  private static final long IDLE_MILLIS = 8_000;
  private static final int CHANGES = 7;
  private static final List<DeploymentSize> BY_DATABASES =
      List.of(
          new DeploymentSize(1, 3),
          new DeploymentSize(2, 3),
          new DeploymentSize(4, 3),
          new DeploymentSize(8, 3));
  private static final List<DeploymentSize> BY_HOSTS =
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
    printRefresh(out);
    Map<DeploymentSize, Map<Quantity, Double>> measured = new LinkedHashMap<>();
    List<DeploymentSize> points = new ArrayList<>(BY_DATABASES);
    points.addAll(BY_HOSTS);
    for (DeploymentSize point : points) {
      if (!measured.containsKey(point)) {
        measured.put(point, measure(point, options, out));
      }
    }
    printSlopes(out, "database", BY_DATABASES, DeploymentSize::databases, measured);
    printSlopes(out, "host", BY_HOSTS, DeploymentSize::hosts, measured);
    return ProgramRunner.EXIT_OK;
  }

  private static void printRefresh(PrintStream out) {
    for (int divisor : DESIGN_DIVISORS) {
      RefreshTiming timing = new RefreshTiming(DESIGN_DATABASES / divisor, DESIGN_HOSTS / divisor);
      String label =
          "refresh_d%d_h%d".formatted(DESIGN_DATABASES / divisor, DESIGN_HOSTS / divisor);
      RefreshTiming.Cost cost = timing.measure();
      print(out, label, "views_cpu_ms", cost.viewsMillis());
      print(out, label, "home_order_cpu_ms", cost.homesMillis());
      print(out, label, "duties_cpu_ms", cost.dutiesMillis());
    }
  }

  private Map<Quantity, Double> measure(DeploymentSize point, Options options, PrintStream out)
      throws IOException, InterruptedException {
    try (Deployment deployment =
        Deployment.start(
            point.spec(),
            options.runFolder().resolve(point.label()),
            options.policy(),
            JvmMode.FAST_START)) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      ResourceSample before = ResourceSample.take(deployment, clock);
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
      Map<Quantity, Double> used = ResourceSample.take(deployment, clock).since(before);
      used.forEach((quantity, value) -> print(out, point.label(), quantity.key(), value));
      print(out, point.label(), "machine_load", machineLoad());
      printSpread(out, point, new ConfigurationPropagation(deployment, clock).measure(CHANGES));
      return used;
    }
  }

  private static void printSpread(PrintStream out, DeploymentSize point, List<Long> millis) {
    List<Long> sorted = millis.stream().sorted().toList();
    print(out, point.label(), "config_everywhere_p50_ms", sorted.get(sorted.size() / 2));
    print(out, point.label(), "config_everywhere_max_ms", Collections.max(sorted));
  }

  private static void printSlopes(
      PrintStream out,
      String unit,
      List<DeploymentSize> points,
      ToIntFunction<DeploymentSize> size,
      Map<DeploymentSize, Map<Quantity, Double>> measured) {
    for (Quantity quantity : Quantity.values()) {
      LineFit fit =
          LineFit.of(
              points.stream()
                  .map(
                      point ->
                          new LineFit.Point(
                              size.applyAsInt(point), measured.get(point).get(quantity)))
                  .toList());
      print(out, "per_" + unit, quantity.key(), fit.slope());
      print(out, "without_any_" + unit, quantity.key(), fit.intercept());
    }
  }

  private static double machineLoad() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  private static void print(PrintStream out, String label, String key, double value) {
    out.printf("%s_%s=%.3f%n", label, key, value);
  }
}
