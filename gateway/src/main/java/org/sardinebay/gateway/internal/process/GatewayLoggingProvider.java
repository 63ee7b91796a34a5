package org.sardinebay.gateway.internal.process;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Binds SLF4J to Logback with the gateway's logging. Logback's own provider searches for a
 * configuration, compares the versions of its libraries and prepares status messages, which takes a
 * seventh of the processor time until the gateway is started.
 *
 * <p>Active only if the system property {@code slf4j.provider} names this class, so that other
 * programs with this class on their class path keep their own configuration.
 */
public final class GatewayLoggingProvider implements SLF4JServiceProvider {
  /** The version of SLF4J's API that this provider is written for. */
  private static final String API_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

  @Override
  public void initialize() {
    context.setMDCAdapter(diagnosticContext);
    GatewayLogging.configure(context);
    context.start();
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return diagnosticContext;
  }

  @Override
  public String getRequestedApiVersion() {
    return API_VERSION;
  }
}
