package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.record.AcceptanceState;
import org.sardinebay.record.RecordStatus;

class AcceptanceQueueTest {
  private static final ObjectKey RULE_KEY = new ObjectKey("staleness", "tablets");
  private static final HostId SELF = new HostId("waco-1");
  private static final List<HostId> ONLY_SELF = List.of(SELF);
  private static final long AFTER_ALL_DELAYS_MILLIS = 60_000;

  private final List<InvariantName> violations = new ArrayList<>();
  private final AcceptanceQueue queue = new AcceptanceQueue((name, detail) -> violations.add(name));

  @Nested
  class Decision {
    @Test
    void should_accept_a_valid_record_with_its_version_as_generation() {
      queue.onObjects(List.of(record(7, 5_000)), 0);

      RecordStatus status = due(0).get(0).status();

      assertThat(status.state()).isEqualTo(AcceptanceState.ACCEPTED);
      assertThat(status.generation()).isEqualTo(7);
      assertThat(status.specGeneration()).isEqualTo(7);
    }

    @Test
    void should_keep_the_last_accepted_content_when_a_record_is_rejected() {
      accept(record(7, 5_000), 8);
      queue.onObjects(List.of(record(9, -1)), 0);

      RecordStatus status = due(AFTER_ALL_DELAYS_MILLIS).get(0).status();

      assertThat(status.state()).isEqualTo(AcceptanceState.REJECTED);
      assertThat(status.problems()).extracting("field").contains("maxAgeMillis");
      assertThat(status.generation()).isEqualTo(9);
      assertThat(status.specGeneration()).isEqualTo(7);
      assertThat(status.spec()).isEqualTo(record(7, 5_000).body());
    }

    @Test
    void should_accept_a_deletion() {
      accept(record(7, 5_000), 8);
      ObjectNode empty = JsonNodeFactory.instance.objectNode();
      queue.onObjects(List.of(new PlatformObject(RULE_KEY, 9, true, empty)), 0);

      RecordStatus status = due(AFTER_ALL_DELAYS_MILLIS).get(0).status();

      assertThat(status.deleted()).isTrue();
      assertThat(status.specGeneration()).isEqualTo(9);
    }

    @Test
    void should_not_be_due_when_this_or_a_newer_generation_has_a_status() {
      accept(record(7, 5_000), 8);

      queue.onObjects(List.of(record(6, 1_000)), 0);

      assertThat(due(AFTER_ALL_DELAYS_MILLIS)).isEmpty();
    }

    @Test
    void should_not_decide_on_a_record_older_than_the_known_status() {
      queue.onObjects(List.of(record(6, 1_000)), 0);

      queue.onObjects(List.of(status(record(7, 5_000), 8)), 0);

      assertThat(due(AFTER_ALL_DELAYS_MILLIS)).isEmpty();
    }

    @Test
    void should_expect_the_version_of_the_current_status() {
      accept(record(7, 5_000), 8);
      queue.onObjects(List.of(record(9, 6_000)), 0);

      assertThat(due(AFTER_ALL_DELAYS_MILLIS).get(0).expectedVersion()).isEqualTo(8);
    }
  }

  @Nested
  class Scheduling {
    @Test
    void should_be_due_on_one_controller_first_and_on_the_others_later() {
      List<HostId> hosts = List.of(SELF, new HostId("waco-2"), new HostId("lubbock-1"));
      queue.onObjects(List.of(record(7, 5_000)), 0);

      long hostsDueFirst =
          hosts.stream().filter(host -> !queue.due(host, hosts, 0).isEmpty()).count();

      assertThat(hostsDueFirst).isEqualTo(1);
      assertThat(queue.due(hosts.get(1), hosts, AFTER_ALL_DELAYS_MILLIS)).hasSize(1);
    }

    @Test
    void should_return_a_write_again_only_after_the_retry_delay() {
      queue.onObjects(List.of(record(7, 5_000)), 0);
      due(0);

      assertThat(due(100)).isEmpty();
      assertThat(due(1_000)).hasSize(1);
    }
  }

  @Nested
  class Statuses {
    @Test
    void should_return_the_accepted_content_for_the_store() {
      List<VersionedRecord> accepted = accept(record(7, 5_000), 8);

      assertThat(accepted)
          .containsExactly(new VersionedRecord(RULE_KEY, 7, false, record(7, 5_000).body()));
    }

    @Test
    void should_report_a_violation_when_the_generation_decreases() {
      accept(record(7, 5_000), 8);

      accept(record(6, 5_000), 9);

      assertThat(violations).containsExactly(InvariantName.CONFIGURATION_NEVER_REVERTS);
    }
  }

  private List<AcceptanceQueue.StatusWrite> due(long nowMillis) {
    return queue.due(SELF, ONLY_SELF, nowMillis);
  }

  private List<VersionedRecord> accept(PlatformObject record, long version) {
    return queue.onObjects(List.of(record, status(record, version)), 0);
  }

  private static PlatformObject status(PlatformObject record, long version) {
    RecordStatus status =
        new RecordStatus(
            record.version(),
            AcceptanceState.ACCEPTED,
            List.of(),
            record.body(),
            record.version(),
            false);
    return new PlatformObject(RecordStatus.key(record.key()), version, false, status.body());
  }

  private static PlatformObject record(long version, long maxAgeMillis) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("schemaVersion", 2).put("database", "contracts-1").put("callerPrefix", "tablet-");
    body.put("maxAgeMillis", maxAgeMillis);
    return new PlatformObject(RULE_KEY, version, false, body);
  }
}
