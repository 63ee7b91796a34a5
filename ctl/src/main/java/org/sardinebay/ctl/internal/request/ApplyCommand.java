package org.sardinebay.ctl.internal.request;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/**
 * Writes the records of a file. All are checked before the first is written; a record that the
 * platform holds already is left as it is.
 *
 * <pre>{@code
 * new ApplyCommand(platform, Path.of("contracts-1.json"), OptionalLong.empty(), System.out).run();
 * }</pre>
 */
public final class ApplyCommand implements Command {
  private final PlatformCalls platform;
  private final Path file;
  private final OptionalLong ifVersion;
  private final PrintStream out;

  /**
   * Creates the command.
   *
   * @param platform the platform
   * @param file the record file
   * @param ifVersion the version to replace, 0 to create; if absent, the one that the file states,
   *     else the version just read
   * @param out where results go
   */
  public ApplyCommand(PlatformCalls platform, Path file, OptionalLong ifVersion, PrintStream out) {
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
          new Failure.WrongArguments("--if-version takes a file with one record only"));
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
    PlatformResult held = platform.read(draft.key());
    if (held instanceof PlatformResult.Failed failed) {
      return Optional.of(new Failure.PlatformFailed(failed.failure()));
    }
    if (!(held instanceof PlatformResult.Found found)) {
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
    if (result instanceof ChangeResult.Done done) {
      print("applied", draft, done.version());
      return Optional.empty();
    }
    return Optional.of(((ChangeResult.NotDone) result).failure());
  }

  private void print(String result, RecordDraft draft, long version) {
    out.println(
        KeyValueLine.of(result)
            .add("kind", draft.key().kind())
            .add("name", draft.key().name())
            .add("version", version));
  }
}
