package org.sardinebay.internal.version;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.record.AcceptanceState;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.RecordCodec;
import org.sardinebay.record.RecordCodecs;
import org.sardinebay.record.RecordResult;
import org.sardinebay.record.RecordStatus;

/**
 * Validates records submitted by operators and decides whether to accept them.
 *
 * <pre>{@code
 * Optional<RecordStatus> status = Acceptance.decide(record, current);
 * }</pre>
 */
public final class Acceptance {
  private Acceptance() {}

  /**
   * Validates a record.
   *
   * @param record the record as stored on the platform, or its tombstone
   * @param current the record's current status, if any
   * @return the new status, or empty if this or a newer generation already has a decision
   */
  public static Optional<RecordStatus> decide(
      PlatformObject record, Optional<RecordStatus> current) {
    if (current.filter(status -> status.generation() >= record.version()).isPresent()) {
      return Optional.empty();
    }
    if (record.deleted()) {
      return Optional.of(accepted(record.version(), emptySpec(), true));
    }
    List<FieldProblem> problems = problems(record);
    return Optional.of(
        problems.isEmpty()
            ? accepted(record.version(), record.body(), false)
            : rejected(record.version(), problems, current));
  }

  private static RecordStatus accepted(long generation, ObjectNode spec, boolean deleted) {
    return new RecordStatus(
        generation, AcceptanceState.ACCEPTED, List.of(), spec, generation, deleted);
  }

  private static RecordStatus rejected(
      long generation, List<FieldProblem> problems, Optional<RecordStatus> current) {
    return new RecordStatus(
        generation,
        AcceptanceState.REJECTED,
        problems,
        current.map(RecordStatus::spec).orElseGet(Acceptance::emptySpec),
        current.map(RecordStatus::specGeneration).orElse(0L),
        current.map(RecordStatus::deleted).orElse(false));
  }

  private static List<FieldProblem> problems(PlatformObject record) {
    Optional<RecordCodec<?>> codec = RecordCodecs.of(record.key().kind());
    if (codec.isEmpty()) {
      return List.of(new FieldProblem("kind", record.key().kind(), "" + RecordCodecs.kinds()));
    }
    RecordResult<?> result = codec.get().read(record.key().name(), record.body());
    return result instanceof RecordResult.Invalid<?> invalid ? invalid.problems() : List.of();
  }

  private static ObjectNode emptySpec() {
    return JsonNodeFactory.instance.objectNode();
  }
}
