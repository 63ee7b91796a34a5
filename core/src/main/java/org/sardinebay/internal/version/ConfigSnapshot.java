package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.DatabaseId;
import org.sardinebay.HostId;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.HostListCodec;
import org.sardinebay.record.DatabaseCodec;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.ProxyCodec;
import org.sardinebay.record.ProxyRecord;
import org.sardinebay.record.RecordCodec;
import org.sardinebay.record.RecordResult;
import org.sardinebay.record.StalenessCodec;
import org.sardinebay.record.StalenessRecord;

/**
 * An immutable snapshot of the typed records of a {@link ConfigStore}.
 *
 * @param databases the databases by name
 * @param proxies the proxies by host
 * @param stalenessRules the staleness rules, sorted by name
 * @param hosts the list of hosts, empty until one has arrived
 * @param unreadable how many records of known kinds this software version can't decode
 */
public record ConfigSnapshot(
    Map<DatabaseId, DatabaseRecord> databases,
    Map<HostId, ProxyRecord> proxies,
    List<StalenessRecord> stalenessRules,
    List<HostEntry> hosts,
    int unreadable) {

  /**
   * Decodes the records.
   *
   * @param records the records of a store, tombstones included
   * @return the typed records
   */
  static ConfigSnapshot of(Collection<VersionedRecord> records) {
    Builder builder = new Builder();
    records.stream().filter(record -> !record.deleted()).forEach(builder::add);
    return builder.build();
  }

  private static final class Builder {
    private final DatabaseCodec databaseCodec = new DatabaseCodec();
    private final ProxyCodec proxyCodec = new ProxyCodec();
    private final StalenessCodec stalenessCodec = new StalenessCodec();
    private final Map<DatabaseId, DatabaseRecord> databases = new TreeMap<>();
    private final Map<HostId, ProxyRecord> proxies = new TreeMap<>();
    private final List<StalenessRecord> stalenessRules = new ArrayList<>();
    private List<HostEntry> hosts = List.of();
    private int unreadable;

    void add(VersionedRecord record) {
      switch (record.key().kind()) {
        case DatabaseCodec.KIND ->
            read(databaseCodec, record).ifPresent(value -> databases.put(value.id(), value));
        case ProxyCodec.KIND ->
            read(proxyCodec, record).ifPresent(value -> proxies.put(value.host(), value));
        case StalenessCodec.KIND -> read(stalenessCodec, record).ifPresent(stalenessRules::add);
        default -> addHosts(record);
      }
    }

    ConfigSnapshot build() {
      return new ConfigSnapshot(
          Collections.unmodifiableMap(databases),
          Collections.unmodifiableMap(proxies),
          List.copyOf(stalenessRules),
          hosts,
          unreadable);
    }

    private void addHosts(VersionedRecord record) {
      if (!record.key().equals(HostListCodec.FEED_KEY)) {
        return;
      }
      Optional<List<HostEntry>> list = HostListCodec.read(record.body());
      if (list.isEmpty()) {
        unreadable++;
      }
      hosts = list.orElse(List.of());
    }

    private <R> Optional<R> read(RecordCodec<R> codec, VersionedRecord record) {
      RecordResult<R> result = codec.read(record.key().name(), record.body());
      if (result instanceof RecordResult.Valid<R> valid) {
        return Optional.of(valid.value());
      }
      unreadable++;
      return Optional.empty();
    }
  }
}
