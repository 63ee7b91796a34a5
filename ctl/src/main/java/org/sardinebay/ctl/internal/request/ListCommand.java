package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.Optional;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Lists the records of a kind and their versions, sorted by name.
 *
 * <pre>{@code
 * new ListCommand(platform, "databases", System.out).run();
 * }</pre>
 */
public final class ListCommand implements Command {
  private final BlockingPlatformClient platform;
  private final String kind;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param kind the kind of the records
   * @param out the stream for results
   */
  public ListCommand(BlockingPlatformClient platform, String kind, PrintStream out) {
    this.platform = platform;
    this.kind = kind;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    Optional<Failure> unknownKind = Kinds.check(kind);
    if (unknownKind.isPresent()) {
      return unknownKind;
    }
    PlatformResult result = platform.list(kind);
    if (result instanceof PlatformResult.Listing listing) {
      listing.objects().stream()
          .filter(object -> !object.deleted())
          .sorted(Comparator.comparing(PlatformObject::key))
          .forEach(this::print);
      return Optional.empty();
    }
    return Optional.of(new Failure.PlatformFailed(((PlatformResult.Failed) result).failure()));
  }

  private void print(PlatformObject object) {
    out.println(
        KeyValueLine.of(kind).add("name", object.key().name()).add("version", object.version()));
  }
}
