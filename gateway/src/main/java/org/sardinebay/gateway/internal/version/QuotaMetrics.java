package org.sardinebay.gateway.internal.version;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.process.QuotaTokens;

/** Counters of the tokens of workspaces. */
final class QuotaMetrics {
  /** Workspaces beyond this number share one label, which bounds the size of a scrape. */
  private static final int MAX_NAMED = 100;

  private static final String OTHERS = "others";
  private static final QuotaTokens.Counts NONE = new QuotaTokens.Counts(0, 0, 0, 0);

  private final MeterRegistry registry;
  private final Set<WorkspaceId> named = new HashSet<>();
  private final Map<CounterKey, Counter> counters = new HashMap<>();
  private Map<WorkspaceId, QuotaTokens.Counts> published = Map.of();

  private record CounterKey(String workspace, String result) {}

  QuotaMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Adds what was counted since the last call. */
  void update(Map<WorkspaceId, QuotaTokens.Counts> counts) {
    counts.forEach(
        (id, now) -> {
          QuotaTokens.Counts before = published.getOrDefault(id, NONE);
          if (!now.equals(before)) {
            String label = label(id);
            add(label, "granted", now.granted() - before.granted());
            add(label, "used", now.used() - before.used());
            add(label, "expired", now.expired() - before.expired());
            add(label, "refused", now.refused() - before.refused());
          }
        });
    published = counts;
  }

  private String label(WorkspaceId id) {
    return named.contains(id) || (named.size() < MAX_NAMED && named.add(id)) ? id.value() : OTHERS;
  }

  private void add(String workspace, String result, long number) {
    if (number > 0) {
      counters
          .computeIfAbsent(new CounterKey(workspace, result), this::counter)
          .increment((double) number);
    }
  }

  private Counter counter(CounterKey key) {
    return registry.counter(
        "sardinebay_quota_tokens", "workspace", key.workspace(), "result", key.result());
  }
}
