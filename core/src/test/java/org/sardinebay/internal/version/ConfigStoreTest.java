package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.FailureDomain;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.HostListCodec;
import org.sardinebay.platform.ObjectKey;

class ConfigStoreTest {
  private static final ObjectKey TABLETS = new ObjectKey("staleness", "tablets");

  private final ConfigStore store = new ConfigStore();

  @Nested
  class Merging {
    @Test
    void should_apply_a_higher_version() {
      store.merge(rule(TABLETS, 3, 1));

      MergeResult result = store.merge(rule(TABLETS, 4, 2));

      assertThat(result).isEqualTo(MergeResult.APPLIED);
      assertThat(store.stalenessRules().get(0).maxAgeMillis()).isEqualTo(2_000);
    }

    @Test
    void should_keep_the_stored_record_when_a_lower_version_arrives() {
      store.merge(rule(TABLETS, 4, 2));

      MergeResult result = store.merge(rule(TABLETS, 3, 1));

      assertThat(result).isEqualTo(MergeResult.OLDER);
      assertThat(store.stalenessRules().get(0).maxAgeMillis()).isEqualTo(2_000);
    }

    @Test
    void should_not_restore_a_deleted_record() {
      store.merge(tombstone(TABLETS, 4));

      MergeResult result = store.merge(rule(TABLETS, 3, 1));

      assertThat(result).isEqualTo(MergeResult.OLDER);
      assertThat(store.stalenessRules()).isEmpty();
      assertThat(store.versions()).containsEntry(TABLETS, 4L);
    }

    @Test
    void should_report_different_content_with_the_same_version() {
      store.merge(rule(TABLETS, 4, 2));

      MergeResult result = store.merge(rule(TABLETS, 4, 3));

      assertThat(result).isEqualTo(MergeResult.CONTENT_DIFFERS);
      assertThat(store.stalenessRules().get(0).maxAgeMillis()).isEqualTo(2_000);
    }
  }

  @Nested
  class Snapshots {
    @Test
    void should_omit_and_count_records_of_a_newer_schema() {
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("schemaVersion", 9);

      store.merge(new VersionedRecord(TABLETS, 1, false, body));

      assertThat(store.stalenessRules()).isEmpty();
      assertThat(store.snapshot().unreadable()).isEqualTo(1);
      assertThat(store.changedSince(Map.of())).hasSize(1);
    }

    @Test
    void should_return_the_host_list() {
      HostEntry host = new HostEntry("waco-1", new FailureDomain("waco-hall"), true);

      store.merge(
          new VersionedRecord(
              HostListCodec.FEED_KEY, 7, false, HostListCodec.write(List.of(host))));

      assertThat(store.hosts()).containsExactly(host);
    }
  }

  @Nested
  class Synchronization {
    @Test
    void should_return_only_records_that_the_other_store_lacks() {
      ObjectKey docks = new ObjectKey("staleness", "docks");
      store.mergeAll(List.of(rule(TABLETS, 4, 2), tombstone(docks, 5)));

      List<VersionedRecord> changed = store.changedSince(Map.of(TABLETS, 4L));

      assertThat(changed).containsExactly(tombstone(docks, 5));
    }

    @Test
    void should_have_a_different_digest_when_a_version_differs() {
      ConfigStore other = new ConfigStore();

      store.merge(rule(TABLETS, 4, 2));
      other.merge(rule(TABLETS, 5, 2));

      assertThat(store.digest()).isNotEqualTo(other.digest());
    }
  }

  @Property(seed = "20261203", tries = 300)
  void should_converge_for_any_order_and_source(
      @ForAll @IntRange(min = 1, max = 40) int updates, @ForAll long seed) {
    Random random = new Random(seed);
    List<VersionedRecord> history = history(updates, random);
    ConfigStore inOrder = new ConfigStore();
    inOrder.mergeAll(history);

    ConfigStore shuffled = deliverInRandomOrder(history, random);

    assertThat(shuffled.versions()).isEqualTo(inOrder.versions());
    assertThat(shuffled.digest()).isEqualTo(inOrder.digest());
    assertThat(shuffled.snapshot()).isEqualTo(inOrder.snapshot());
    assertThat(shuffled.changedSince(inOrder.versions())).isEmpty();
  }

  private static ConfigStore deliverInRandomOrder(List<VersionedRecord> history, Random random) {
    List<VersionedRecord> deliveries = new ArrayList<>(history);
    deliveries.addAll(history);
    Collections.shuffle(deliveries, random);
    ConfigStore target = new ConfigStore();
    ConfigStore peer = new ConfigStore();
    Map<ObjectKey, Long> lastVersions = new HashMap<>();
    for (VersionedRecord delivery : deliveries) {
      (random.nextBoolean() ? target : peer).merge(delivery);
      if (random.nextInt(4) == 0) {
        target.mergeAll(peer.changedSince(Map.of()));
      }
      Map<ObjectKey, Long> versions = target.versions();
      lastVersions.forEach(
          (key, version) -> assertThat(versions.get(key)).isGreaterThanOrEqualTo(version));
      lastVersions.putAll(versions);
    }
    target.mergeAll(peer.changedSince(target.versions()));
    return target;
  }

  private static List<VersionedRecord> history(int updates, Random random) {
    List<VersionedRecord> history = new ArrayList<>();
    for (int version = 1; version <= updates; version++) {
      ObjectKey key = new ObjectKey("staleness", "rule-" + random.nextInt(5));
      history.add(random.nextInt(4) == 0 ? tombstone(key, version) : rule(key, version, version));
    }
    return history;
  }

  private static VersionedRecord rule(ObjectKey key, long version, int maxAgeSeconds) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("schemaVersion", 1)
            .put("database", "*")
            .put("maxAgeSeconds", maxAgeSeconds);
    return new VersionedRecord(key, version, false, body);
  }

  private static VersionedRecord tombstone(ObjectKey key, long version) {
    return new VersionedRecord(key, version, true, JsonNodeFactory.instance.objectNode());
  }
}
