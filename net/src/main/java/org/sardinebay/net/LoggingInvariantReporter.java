package org.sardinebay.net;

import io.micrometer.core.instrument.MeterRegistry;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.InvariantReporter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts invariant violations. With the system property {@code sardinebay.strict=true},
 * which tests set, a violation halts the process.
 *
 * <pre>{@code
 * InvariantReporter invariantReporter = new LoggingInvariantReporter(registry);
 * }</pre>
 */
public final class LoggingInvariantReporter implements InvariantReporter {
  /** The name of the counter of violations. */
  public static final String METRIC = "sardinebay_invariant_violations";

  /** The exit status after a violation in strict mode. */
  public static final int EXIT_VIOLATED = 70;

  private static final Logger LOG = LoggerFactory.getLogger(LoggingInvariantReporter.class);
  private static final boolean STRICT = Boolean.getBoolean("sardinebay.strict");

  private final MeterRegistry registry;

  /**
   * Creates a reporter.
   *
   * @param registry the registry of the counter
   */
  public LoggingInvariantReporter(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void violated(InvariantName name, String detail) {
    LOG.atError()
        .setMessage("invariant_violated")
        .addKeyValue("invariant", name)
        .addKeyValue("detail", '"' + detail + '"')
        .log();
    registry.counter(METRIC, "invariant", name.name()).increment();
    if (STRICT) {
      Runtime.getRuntime().halt(EXIT_VIOLATED);
    }
  }
}
