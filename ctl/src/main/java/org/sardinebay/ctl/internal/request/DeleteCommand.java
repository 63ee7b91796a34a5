package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.util.Optional;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.RecordCodecs;

/**
 * Deletes a record if it has the given version.
 *
 * <pre>{@code
 * new DeleteCommand(platform, key, 12, System.out).run();
 * }</pre>
 */
public final class DeleteCommand implements Command {
  private final BlockingPlatformClient platform;
  private final ObjectKey key;
  private final long ifVersion;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param key the key of the record
   * @param ifVersion the expected version
   * @param out the stream for results
   */
  public DeleteCommand(
      BlockingPlatformClient platform, ObjectKey key, long ifVersion, PrintStream out) {
    this.platform = platform;
    this.key = key;
    this.ifVersion = ifVersion;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    if (RecordCodecs.of(key.kind()).isEmpty()) {
      return Optional.of(new Failure.UnknownKind(key.kind()));
    }
    PlatformResult current = platform.read(key);
    if (current instanceof PlatformResult.Failed failed) {
      return Optional.of(new Failure.PlatformFailed(failed.failure()));
    }
    if (current instanceof PlatformResult.Absent) {
      return Optional.of(new Failure.NotFound(key));
    }
    ChangeResult result = ConditionalChange.delete(platform, key, ifVersion).run();
    if (result instanceof ChangeResult.NotApplied notApplied) {
      return Optional.of(notApplied.failure());
    }
    out.println(
        KeyValueLine.of("deleted")
            .add("kind", key.kind())
            .add("name", key.name())
            .add("version", ifVersion));
    return Optional.empty();
  }
}
