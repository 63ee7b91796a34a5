package org.sardinebay.gateway.internal.process;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.version.MemberView;

/**
 * Gauges of this host's view of the services and of its connections. They are refreshed on the
 * event loop when the metrics are read, because registering them anew was an eighth of the periodic
 * work of an idle host.
 */
final class GatewayMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Services services;
  private final Clock clock;
  private final MultiGauge waiting;
  private final MultiGauge connections;
  private final MultiGauge opened;
  private final MultiGauge replaced;
  private final MultiGauge term;
  private final MultiGauge lease;
  private final MultiGauge lag;

  GatewayMetrics(
      Services services,
      Sessions sessions,
      StoreEra storeEra,
      Clock clock,
      MeterRegistry registry) {
    this.services = services;
    this.clock = clock;
    this.waiting = MultiGauge.builder("sardinebay_statements_waiting").register(registry);
    this.connections = MultiGauge.builder("sardinebay_member_connections").register(registry);
    this.opened = MultiGauge.builder("sardinebay_member_connections_opened").register(registry);
    this.replaced = MultiGauge.builder("sardinebay_connections_replaced").register(registry);
    this.term = MultiGauge.builder("sardinebay_service_term").register(registry);
    this.lease = MultiGauge.builder("sardinebay_service_lease_seconds").register(registry);
    this.lag = MultiGauge.builder("sardinebay_replica_lag_seconds").register(registry);
    registry.gauge("sardinebay_store_era", storeEra, StoreEra::current);
    registry.gauge("sardinebay_sessions", sessions, Sessions::size);
    FunctionCounter.builder("sardinebay_sessions_refused", sessions, Sessions::refused)
        .register(registry);
    registry.gauge("sardinebay_configuration_version", services, s -> s.table().version());
    registry.gauge(
        "sardinebay_configuration_age_seconds", this, GatewayMetrics::configurationAgeSeconds);
    FunctionCounter.builder("sardinebay_log_lines_dropped", this, m -> droppedLogLines())
        .register(registry);
  }

  private double configurationAgeSeconds() {
    return (clock.millis() - services.appliedAt()) / MILLIS_PER_SECOND;
  }

  private static double droppedLogLines() {
    return GatewayLogging.droppedLines();
  }

  /** Refreshes the gauges of services and members. */
  void refresh() {
    long now = clock.millis();
    waiting.register(rows(ServiceRuntime::waiting), true);
    opened.register(rows(ServiceRuntime::connectionsOpened), true);
    replaced.register(rows(ServiceRuntime::connectionsReplaced), true);
    term.register(rows(service -> service.view().term()), true);
    lease.register(rows(s -> s.view().leaseMillis(now) / MILLIS_PER_SECOND), true);
    connections.register(connectionRows(), true);
    lag.register(lagRows(), true);
  }

  private List<MultiGauge.Row<?>> rows(ToDoubleFunction<ServiceRuntime> value) {
    List<MultiGauge.Row<?>> rows = new ArrayList<>();
    services
        .all()
        .forEach(
            service -> rows.add(MultiGauge.Row.of(tags(service), value.applyAsDouble(service))));
    return rows;
  }

  private List<MultiGauge.Row<?>> connectionRows() {
    List<MultiGauge.Row<?>> rows = new ArrayList<>();
    for (ServiceRuntime service : services.all()) {
      for (MemberView member : service.view().members()) {
        service.pool(member.id()).ifPresent(pool -> addConnections(rows, service, member, pool));
      }
    }
    return rows;
  }

  private static void addConnections(
      List<MultiGauge.Row<?>> rows, ServiceRuntime service, MemberView member, MemberPool pool) {
    Tags tags = tags(service).and("member", member.id().value());
    rows.add(MultiGauge.Row.of(tags.and("state", "lent"), pool.inUse()));
    rows.add(MultiGauge.Row.of(tags.and("state", "idle"), pool.size() - pool.inUse()));
  }

  private List<MultiGauge.Row<?>> lagRows() {
    List<MultiGauge.Row<?>> rows = new ArrayList<>();
    for (ServiceRuntime service : services.all()) {
      for (MemberView member : service.view().members()) {
        member
            .status()
            .ifPresent(
                status ->
                    rows.add(
                        MultiGauge.Row.of(
                            tags(service).and("member", member.id().value()),
                            status.lagMillis() / MILLIS_PER_SECOND)));
      }
    }
    return rows;
  }

  private static Tags tags(ServiceRuntime service) {
    return Tags.of("service", service.view().service());
  }
}
