package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.util.Optional;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Prints the records of a kind and then their changes, until the thread is interrupted or the
 * output is closed.
 *
 * <pre>{@code
 * new WatchCommand(platform, "databases", System.out, System.err).run();
 * }</pre>
 */
public final class WatchCommand implements Command {
  private static final long WAIT_MILLIS = 20_000;
  private static final long RETRY_MILLIS = 1_000;

  private final BlockingPlatformClient platform;
  private final String kind;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param kind the kind of the records
   * @param out the stream for changes
   * @param err the stream for reports of platform outages
   */
  public WatchCommand(
      BlockingPlatformClient platform, String kind, PrintStream out, PrintStream err) {
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
    boolean outageReported = false;
    while (!shouldStop()) {
      PlatformResult result = platform.watch(kind, revision, WAIT_MILLIS);
      if (result instanceof PlatformResult.Listing listing) {
        listing.objects().forEach(this::print);
        revision = listing.revision();
        outageReported = false;
      } else if (!shouldStop()) {
        outageReported = outageReported || report(result);
      }
      pauseUnlessNextWatchBlocks(result);
    }
    return Optional.empty();
  }

  private boolean shouldStop() {
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
      err.println("waiting: " + report.causes().get(0) + "; retrying until the platform responds");
    }
    return true;
  }

  /**
   * Delays the next watch unless the platform will block it until there is a change. It does so
   * only if it is up and the watch has a revision above 0. Otherwise the watch ends immediately,
   * and without the delay the watches would be repeated in a busy loop.
   */
  private static void pauseUnlessNextWatchBlocks(PlatformResult result) {
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
