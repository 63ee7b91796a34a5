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
 * Changes one record if it has the expected version. When the answer to a change is lost, the
 * record is read back: if it holds the change, the change is done; if it is still at the expected
 * version, the same conditional change is sent again.
 */
final class ConditionalChange {
  private static final int ATTEMPTS = 4;

  private final PlatformCalls platform;
  private final ObjectKey key;
  private final long expectedVersion;
  private final Supplier<PlatformResult> change;
  private final Function<Optional<PlatformObject>, Optional<ChangeResult.Done>> recognise;

  private ConditionalChange(
      PlatformCalls platform,
      ObjectKey key,
      long expectedVersion,
      Supplier<PlatformResult> change,
      Function<Optional<PlatformObject>, Optional<ChangeResult.Done>> recognise) {
    this.platform = platform;
    this.key = key;
    this.expectedVersion = expectedVersion;
    this.change = change;
    this.recognise = recognise;
  }

  static ConditionalChange write(
      PlatformCalls platform, ObjectKey key, long expectedVersion, ObjectNode body) {
    return new ConditionalChange(
        platform,
        key,
        expectedVersion,
        () -> platform.write(key, expectedVersion, body),
        held ->
            held.filter(object -> object.version() > expectedVersion)
                .filter(object -> object.body().equals(body))
                .map(object -> new ChangeResult.Done(object.version())));
  }

  static ConditionalChange delete(PlatformCalls platform, ObjectKey key, long expectedVersion) {
    return new ConditionalChange(
        platform,
        key,
        expectedVersion,
        () -> platform.delete(key, expectedVersion),
        held ->
            held.isEmpty()
                ? Optional.of(new ChangeResult.Done(expectedVersion))
                : Optional.empty());
  }

  ChangeResult run() {
    boolean inDoubt = false;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      PlatformResult result = change.get();
      if (!inDoubt && !isNoAnswer(result)) {
        return firstAnswer(result);
      }
      inDoubt = true;
      Optional<ChangeResult> settled = settled(result);
      if (settled.isPresent()) {
        return settled.get();
      }
    }
    return new ChangeResult.NotDone(new Failure.OutcomeUnknown(key));
  }

  private ChangeResult firstAnswer(PlatformResult result) {
    if (result instanceof PlatformResult.Conflict conflict) {
      return new ChangeResult.NotDone(
          new Failure.Conflict(key, expectedVersion, conflict.currentVersion()));
    }
    if (result instanceof PlatformResult.Failed failed) {
      return new ChangeResult.NotDone(new Failure.PlatformFailed(failed.failure()));
    }
    return done(result);
  }

  /** Decides after an answer was lost, so that an earlier attempt may have taken effect. */
  private Optional<ChangeResult> settled(PlatformResult result) {
    if (result instanceof PlatformResult.Found || result instanceof PlatformResult.Absent) {
      return Optional.of(done(result));
    }
    PlatformResult held = platform.read(key);
    if (held instanceof PlatformResult.Failed) {
      return Optional.empty();
    }
    Optional<PlatformObject> object =
        held instanceof PlatformResult.Found found ? Optional.of(found.object()) : Optional.empty();
    Optional<ChangeResult.Done> done = recognise.apply(object);
    if (done.isPresent()) {
      return Optional.of(done.get());
    }
    long version = object.map(PlatformObject::version).orElse(0L);
    return version == expectedVersion
        ? Optional.empty()
        : Optional.of(new ChangeResult.NotDone(new Failure.Overtaken(key, version)));
  }

  private ChangeResult done(PlatformResult result) {
    return new ChangeResult.Done(
        result instanceof PlatformResult.Found found ? found.object().version() : expectedVersion);
  }

  private static boolean isNoAnswer(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }
}
