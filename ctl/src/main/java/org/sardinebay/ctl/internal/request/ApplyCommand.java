package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Writes the records of a file. All records are validated before the first is written. Records that
 * the platform already stores with the same content are not written.
 *
 * <pre>{@code
 * new ApplyCommand(platform, Path.of("contracts-1.json"), OptionalLong.empty(), System.out).run();
 * }</pre>
 */
public final class ApplyCommand implements Command {
  private final BlockingPlatformClient platform;
  private final Path file;
  private final OptionalLong ifVersion;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the client of the platform
   * @param file the record file
   * @param ifVersion the version to replace, 0 to create; if absent, the version in the file or
   *     else the current version is replaced
   * @param out the stream for results
   */
  public ApplyCommand(
      BlockingPlatformClient platform, Path file, OptionalLong ifVersion, PrintStream out) {
    this.platform = platform;
    this.file = file;
    this.ifVersion = ifVersion;
    this.out = out;
  }

  @Override
  public Optional<Failure> run() {
    RecordFileResult result = new RecordFile(file).read();
    if (result instanceof RecordFileResult.Invalid invalid) {
      return Optional.of(invalid.failure());
    }
    List<RecordDraft> drafts = ((RecordFileResult.Valid) result).drafts();
    if (ifVersion.isPresent() && drafts.size() > 1) {
      return Optional.of(
          new Failure.InvalidArguments("--if-version takes a file with one record only"));
    }
    for (RecordDraft draft : drafts) {
      OptionalLong expected = ifVersion.isPresent() ? ifVersion : draft.version();
      Optional<Failure> failure =
          expected.isPresent() ? write(draft, expected.getAsLong()) : readAndWrite(draft);
      if (failure.isPresent()) {
        return failure;
      }
    }
    return Optional.empty();
  }

  private Optional<Failure> readAndWrite(RecordDraft draft) {
    PlatformResult current = platform.read(draft.key());
    if (current instanceof PlatformResult.Failed failed) {
      return Optional.of(new Failure.PlatformFailed(failed.failure()));
    }
    if (!(current instanceof PlatformResult.Found found)) {
      return write(draft, 0);
    }
    PlatformObject object = found.object();
    if (object.body().equals(draft.spec())) {
      print("unchanged", draft, object.version());
      return Optional.empty();
    }
    return write(draft, object.version());
  }

  private Optional<Failure> write(RecordDraft draft, long expectedVersion) {
    ChangeResult result =
        ConditionalChange.write(platform, draft.key(), expectedVersion, draft.spec()).run();
    if (result instanceof ChangeResult.Applied applied) {
      print("applied", draft, applied.version());
      return Optional.empty();
    }
    return Optional.of(((ChangeResult.NotApplied) result).failure());
  }

  private void print(String result, RecordDraft draft, long version) {
    out.println(
        KeyValueLine.of(result)
            .add("kind", draft.key().kind())
            .add("name", draft.key().name())
            .add("version", version));
  }
}
