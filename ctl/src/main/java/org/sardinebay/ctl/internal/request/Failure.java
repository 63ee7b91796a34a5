package org.sardinebay.ctl.internal.request;

import java.nio.file.Path;
import java.util.List;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.RecordCodecs;

/** How a command failed, with the words that operators read about it. */
public sealed interface Failure {
  /** The exit status of a failure while running. */
  int EXIT_FAILURE = 1;

  /** The exit status of wrong arguments or a wrong record. */
  int EXIT_USAGE = 2;

  /** The exit status of a conflict with another change. */
  int EXIT_CONFLICT = 3;

  /**
   * Describes the failure to an operator.
   *
   * @return the description
   */
  FailureReport report();

  /**
   * The command line is wrong.
   *
   * @param reason what is wrong
   */
  record WrongArguments(String reason) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "the command line can't be understood",
          List.of(reason),
          "see sardinebayctl --help");
    }
  }

  /**
   * A log can't be read.
   *
   * @param file its name
   */
  record NoLog(String file) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "the log " + file + " can't be read",
          List.of("no such file, or no right to read it"),
          "name the log of each process, or - for standard input");
    }
  }

  /**
   * No line names the request.
   *
   * @param request its id
   * @param lines lines that were read
   */
  record RequestNotLogged(String request, int lines) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "no line names the request " + request,
          List.of(
              "of " + lines + " lines read, none has it",
              "a request that succeeds at once is logged only as a sample",
              "a request that no process received has no line",
              "a host that was killed or lost power while it ran the request wrote none"),
          "name the logs of all hosts for the time in question; look for event=started after it");
    }
  }

  /**
   * The kind is none that operators write.
   *
   * @param kind the kind
   */
  record UnknownKind(String kind) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "records of kind " + kind + " can't be handled",
          List.of("operators write records of the kinds " + RecordCodecs.kinds()),
          "correct the kind");
    }
  }

  /**
   * The record file can't be read.
   *
   * @param file which file
   * @param reason why
   */
  record UnreadableFile(Path file, String reason) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "nothing was applied: file " + file + " can't be read",
          List.of(reason),
          "correct the file and apply it again");
    }
  }

  /**
   * A record has wrong fields.
   *
   * @param record the record, as the operator knows it
   * @param problems what is wrong
   */
  record WrongFields(String record, List<FieldProblem> problems) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          record + " has wrong fields; nothing was changed",
          problems.stream().map(FieldProblem::toString).toList(),
          "correct the fields and repeat the command");
    }
  }

  /**
   * The record has another version than expected.
   *
   * @param key which record
   * @param expectedVersion the version that was to be replaced or deleted
   * @param currentVersion the version that it has
   */
  record Conflict(ObjectKey key, long expectedVersion, long currentVersion) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_CONFLICT,
          key + " was not changed",
          List.of(
              "it is "
                  + version(currentVersion)
                  + ", not "
                  + version(expectedVersion)
                  + ": another operator changed it"),
          "read it with get, and apply your change to what it holds now");
    }

    private static String version(long version) {
      return version == 0 ? "absent" : "at version " + version;
    }
  }

  /**
   * The answer to a change was lost, and the record now holds something else.
   *
   * @param key which record
   * @param currentVersion the version that it has, 0 if it is absent
   */
  record Overtaken(ObjectKey key, long currentVersion) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_CONFLICT,
          key + " holds another change than yours",
          List.of(
              "it is "
                  + Conflict.version(currentVersion)
                  + "; the platform did not answer your change, which was refused or replaced"),
          "read it with get, and apply your change to what it holds now");
    }
  }

  /**
   * There is no such record.
   *
   * @param key which record
   */
  record NotFound(ObjectKey key) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          key + " does not exist",
          List.of("the platform holds no such record"),
          "list the records of this kind with list " + key.kind());
    }
  }

  /**
   * A call to the platform failed and changed nothing.
   *
   * @param failure how
   */
  record PlatformFailed(PlatformFailure failure) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE, "the platform gave no result", List.of(cause()), next());
    }

    private String cause() {
      return switch (failure) {
        case NOT_SENT -> "no connection could be made to it";
        case RATE_LIMITED -> "it refused the call for its rate";
        case UNAVAILABLE -> "it says that it is down";
        case HISTORY_GONE -> "it no longer keeps the changes that were asked for";
        case NO_ANSWER -> "no answer came in time, or none that can be read";
        case BAD_CALL -> "it can't read the call";
      };
    }

    private String next() {
      return switch (failure) {
        case NOT_SENT -> "check the address after --platform, and repeat the command";
        case RATE_LIMITED -> "repeat the command in a second";
        case UNAVAILABLE -> "repeat the command when the platform is back";
        case HISTORY_GONE -> "repeat the command: it lists the records anew";
        case NO_ANSWER -> "repeat the command, with a greater --timeout if need be";
        case BAD_CALL -> "check that the address after --platform is the platform's";
      };
    }
  }

  /**
   * A change may have taken effect.
   *
   * @param key the record to be changed
   */
  record OutcomeUnknown(ObjectKey key) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "it is unknown whether " + key + " was changed",
          List.of("the platform did not answer the change, and it can't be read back"),
          "repeat the command when the platform answers: it finds out and changes it once at most");
    }
  }

  /**
   * A process did not give its state.
   *
   * @param address the address that was called
   */
  record NoDump(String address) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "there is no dump from " + address,
          List.of("no process answered there in time, or it serves no /dump"),
          "check that the address is the one on which the process serves HTTP");
    }
  }
}
