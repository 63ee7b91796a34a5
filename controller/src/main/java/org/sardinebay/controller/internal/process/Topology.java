package org.sardinebay.controller.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinebay.Address;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.ConfigSnapshot;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.internal.version.WatchAssignment;
import org.sardinebay.internal.version.WatcherAssignment;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.record.ProxyRecord;

/**
 * The controllers in the latest configuration, and the databases that this controller has to watch.
 *
 * <pre>{@code
 * List<WatchAssignment> assignments = topology.assignments();
 * }</pre>
 *
 * <p>Thread-safe. The results are cached and computed again only after the configuration has
 * changed.
 */
final class Topology {
  private final ControllerInfo self;
  private final ConfigStore store;
  private volatile Snapshot snapshot;

  Topology(ControllerInfo self, ConfigStore store) {
    this.self = self;
    this.store = store;
    this.snapshot = snapshot(store.digest(), store.snapshot());
  }

  List<WatchAssignment> assignments() {
    return current().assignments;
  }

  List<HostEntry> hosts() {
    return current().configSnapshot.hosts();
  }

  /** The hosts of the controllers that watch the platform and accept or reject its records. */
  List<HostId> platformWatchers() {
    return current().platformWatchers;
  }

  boolean watchesPlatform() {
    return platformWatchers().contains(self.host());
  }

  /** The other controllers in this failure domain that watch the platform. */
  List<Address> sameDomainWatchers() {
    Snapshot latest = current();
    return latest.controllers.stream()
        .filter(other -> other.failureDomain().equals(self.failureDomain()))
        .filter(other -> latest.platformWatchers.contains(other.host()))
        .filter(other -> !other.host().equals(self.host()))
        .map(ControllerInfo::address)
        .toList();
  }

  /** All other controllers. */
  List<Address> otherControllers() {
    return current().controllers.stream()
        .filter(other -> !other.host().equals(self.host()))
        .map(ControllerInfo::address)
        .toList();
  }

  private Snapshot current() {
    long digest = store.digest();
    Snapshot cached = snapshot;
    if (cached.digest == digest) {
      return cached;
    }
    Snapshot fresh = snapshot(digest, store.snapshot());
    snapshot = fresh;
    return fresh;
  }

  private Snapshot snapshot(long digest, ConfigSnapshot configSnapshot) {
    Set<String> leaving =
        configSnapshot.hosts().stream()
            .filter(HostEntry::leaving)
            .map(HostEntry::name)
            .collect(Collectors.toSet());
    List<ControllerInfo> controllers = new ArrayList<>();
    for (ProxyRecord proxy : configSnapshot.proxies().values()) {
      if (!leaving.contains(proxy.host().value())) {
        proxy
            .controllerAddress()
            .map(address -> new ControllerInfo(proxy.host(), proxy.failureDomain(), address))
            .ifPresent(controllers::add);
      }
    }
    WatcherAssignment assignment = new WatcherAssignment(self, controllers);
    return new Snapshot(
        digest,
        configSnapshot,
        List.copyOf(controllers),
        assignment.assignedWatches(configSnapshot.databases().values()),
        assignment.platformWatchers());
  }

  private record Snapshot(
      long digest,
      ConfigSnapshot configSnapshot,
      List<ControllerInfo> controllers,
      List<WatchAssignment> assignments,
      List<HostId> platformWatchers) {}
}
