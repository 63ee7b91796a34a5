package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Changes one record if it has the expected version. If the response to a change is lost, the
 * record is read back: if it contains the change, the change was applied; if it still has the
 * expected version, the same conditional change is retried.
 */
final class ConditionalChange {
  private static final int MAX_ATTEMPTS = 4;

  private final BlockingPlatformClient platform;
  private final ObjectKey key;
  private final long expectedVersion;
  private final Supplier<PlatformResult> change;
  private final Function<Optional<PlatformObject>, Optional<ChangeResult.Applied>> findApplied;

  private ConditionalChange(
      BlockingPlatformClient platform,
      ObjectKey key,
      long expectedVersion,
      Supplier<PlatformResult> change,
      Function<Optional<PlatformObject>, Optional<ChangeResult.Applied>> findApplied) {
    this.platform = platform;
    this.key = key;
    this.expectedVersion = expectedVersion;
    this.change = change;
    this.findApplied = findApplied;
  }

  static ConditionalChange write(
      BlockingPlatformClient platform, ObjectKey key, long expectedVersion, ObjectNode body) {
    return new ConditionalChange(
        platform,
        key,
        expectedVersion,
        () -> platform.write(key, expectedVersion, body),
        current ->
            current
                .filter(object -> object.version() > expectedVersion)
                .filter(object -> object.body().equals(body))
                .map(object -> new ChangeResult.Applied(object.version())));
  }

  static ConditionalChange delete(
      BlockingPlatformClient platform, ObjectKey key, long expectedVersion) {
    return new ConditionalChange(
        platform,
        key,
        expectedVersion,
        () -> platform.delete(key, expectedVersion),
        current ->
            current.isEmpty()
                ? Optional.of(new ChangeResult.Applied(expectedVersion))
                : Optional.empty());
  }

  ChangeResult run() {
    boolean inDoubt = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      PlatformResult result = change.get();
      if (!inDoubt && !isNoAnswer(result)) {
        return toResult(result);
      }
      inDoubt = true;
      Optional<ChangeResult> resolved = resolve(result);
      if (resolved.isPresent()) {
        return resolved.get();
      }
    }
    return new ChangeResult.NotApplied(new Failure.OutcomeUnknown(key));
  }

  private ChangeResult toResult(PlatformResult result) {
    if (result instanceof PlatformResult.Conflict conflict) {
      return new ChangeResult.NotApplied(
          new Failure.Conflict(key, expectedVersion, conflict.currentVersion()));
    }
    if (result instanceof PlatformResult.Failed failed) {
      return new ChangeResult.NotApplied(new Failure.PlatformFailed(failed.failure()));
    }
    return applied(result);
  }

  /**
   * Determines the result after a response was lost and an earlier attempt may have been applied.
   */
  private Optional<ChangeResult> resolve(PlatformResult result) {
    if (result instanceof PlatformResult.Found || result instanceof PlatformResult.Absent) {
      return Optional.of(applied(result));
    }
    PlatformResult current = platform.read(key);
    if (current instanceof PlatformResult.Failed) {
      return Optional.empty();
    }
    Optional<PlatformObject> object =
        current instanceof PlatformResult.Found found
            ? Optional.of(found.object())
            : Optional.empty();
    Optional<ChangeResult.Applied> applied = findApplied.apply(object);
    if (applied.isPresent()) {
      return Optional.of(applied.get());
    }
    long version = object.map(PlatformObject::version).orElse(0L);
    return version == expectedVersion
        ? Optional.empty()
        : Optional.of(new ChangeResult.NotApplied(new Failure.Superseded(key, version)));
  }

  private ChangeResult applied(PlatformResult result) {
    return new ChangeResult.Applied(
        result instanceof PlatformResult.Found found ? found.object().version() : expectedVersion);
  }

  private static boolean isNoAnswer(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }
}
