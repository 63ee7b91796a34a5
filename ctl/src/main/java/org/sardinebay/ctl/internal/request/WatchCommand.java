package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.util.Optional;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Shows the records of a kind and then their changes, until the thread is interrupted or nobody
 * reads the output any more.
 *
 * <pre>{@code
 * new WatchCommand(platform, "databases", System.out, System.err).run();
 * }</pre>
 */
public final class WatchCommand implements Command {
  private static final long WAIT_MILLIS = 20_000;
  private static final long RETRY_MILLIS = 1_000;

  private final PlatformCalls platform;
  private final String kind;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the command.
   *
   * @param platform the platform
   * @param kind the kind
   * @param out where changes go
   * @param err where outages of the platform are reported
   */
  public WatchCommand(PlatformCalls platform, String kind, PrintStream out, PrintStream err) {
    this.platform = platform;
    this.kind = kind;
    this.out = out;
    this.err = err;
  }

  @Override
  public Optional<Failure> run() {
    Optional<Failure> unknownKind = Kinds.check(kind);
    if (unknownKind.isPresent()) {
      return unknownKind;
    }
    long revision = 0;
    boolean reported = false;
    while (!isOver()) {
      PlatformResult result = platform.watch(kind, revision, WAIT_MILLIS);
      if (result instanceof PlatformResult.Listing listing) {
        listing.objects().forEach(this::print);
        revision = listing.revision();
        reported = false;
      } else if (!isOver()) {
        reported = reported || report(result);
      }
      pauseUnlessHeld(result);
    }
    return Optional.empty();
  }

  private boolean isOver() {
    return Thread.currentThread().isInterrupted() || out.checkError();
  }

  private void print(PlatformObject object) {
    KeyValueLine line =
        KeyValueLine.of(object.deleted() ? "deleted" : "changed")
            .add("kind", kind)
            .add("name", object.key().name())
            .add("version", object.version());
    out.println(object.deleted() ? line : line.add("spec", object.body()));
  }

  private boolean report(PlatformResult result) {
    if (result instanceof PlatformResult.Failed failed) {
      FailureReport report = new Failure.PlatformFailed(failed.failure()).report();
      err.println("waiting: " + report.causes().get(0) + "; trying again until it answers");
    }
    return true;
  }

  /** The platform holds a watch only after a revision above 0 and while it is up. */
  private static void pauseUnlessHeld(PlatformResult result) {
    if (result instanceof PlatformResult.Listing listing && listing.revision() > 0) {
      return;
    }
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
