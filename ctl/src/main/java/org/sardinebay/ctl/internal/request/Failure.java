package org.sardinebay.ctl.internal.request;

import java.nio.file.Path;
import java.util.List;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.RecordCodecs;

/** The failure of a command, with its description for operators. */
public sealed interface Failure {
  /** The exit status if a command fails. */
  int EXIT_FAILURE = 1;

  /** The exit status if the arguments or a record are invalid. */
  int EXIT_USAGE = 2;

  /** The exit status if a change conflicts with another change. */
  int EXIT_CONFLICT = 3;

  /**
   * Describes the failure for operators.
   *
   * @return the description
   */
  FailureReport report();

  /**
   * The command line is invalid.
   *
   * @param reason the reason
   */
  record InvalidArguments(String reason) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE, "the command line is invalid", List.of(reason), "see sardinebayctl --help");
    }
  }

  /**
   * A log file can't be read.
   *
   * @param file its name
   */
  record UnreadableLog(String file) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "the log " + file + " can't be read",
          List.of("it does not exist or is not readable"),
          "give the log file of each process, or - for standard input");
    }
  }

  /**
   * No log line contains the request id.
   *
   * @param request the request id
   * @param lines the number of lines read
   */
  record RequestNotLogged(String request, int lines) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "no line names the request " + request,
          List.of(
              "none of the " + lines + " lines read contains it",
              "requests that succeed immediately are logged only by sampling",
              "a request that no process received is not logged",
              "a host that was killed or lost power while it ran the request logged nothing"),
          "give the logs of all hosts for that time; event=started after it shows a restart");
    }
  }

  /**
   * The kind is unknown, or operators can't write records of it.
   *
   * @param kind the kind
   */
  record UnknownKind(String kind) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          "records of kind " + kind + " are not supported",
          List.of("operators can write records of the kinds " + RecordCodecs.kinds()),
          "correct the kind");
    }
  }

  /**
   * The record file can't be read.
   *
   * @param file the path of the file
   * @param reason the reason
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
   * A record has invalid fields.
   *
   * @param record the key or the file of the record
   * @param problems the problems found
   */
  record InvalidFields(String record, List<FieldProblem> problems) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_USAGE,
          record + " has invalid fields; nothing was changed",
          problems.stream().map(FieldProblem::toString).toList(),
          "correct the fields and repeat the command");
    }
  }

  /**
   * The record doesn't have the expected version.
   *
   * @param key the key of the record
   * @param expectedVersion the version to be replaced or deleted
   * @param currentVersion the current version, 0 if the record is absent
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
   * The response to a change was lost, and the record now has other content.
   *
   * @param key the key of the record
   * @param currentVersion the current version, 0 if the record is absent
   */
  record Superseded(ObjectKey key, long currentVersion) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_CONFLICT,
          key + " does not contain your change",
          List.of(
              "it is "
                  + Conflict.version(currentVersion)
                  + "; the platform did not confirm your change, which was rejected or replaced"),
          "read it with get, and apply your change to what it holds now");
    }
  }

  /**
   * The record does not exist.
   *
   * @param key the key of the record
   */
  record NotFound(ObjectKey key) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          key + " does not exist",
          List.of("the platform stores no such record"),
          "list the records of this kind with list " + key.kind());
    }
  }

  /**
   * A call to the platform failed and changed nothing.
   *
   * @param failure the kind of failure
   */
  record PlatformFailed(PlatformFailure failure) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE, "the platform gave no result", List.of(cause()), next());
    }

    private String cause() {
      return switch (failure) {
        case NOT_SENT -> "could not connect to it";
        case RATE_LIMITED -> "it refused the call for its rate";
        case UNAVAILABLE -> "it says that it is down";
        case HISTORY_GONE -> "it no longer keeps the requested changes";
        case NO_ANSWER -> "it sent no valid response in time";
        case BAD_CALL -> "it rejected the call as invalid";
      };
    }

    private String next() {
      return switch (failure) {
        case NOT_SENT -> "check the address after --platform, and repeat the command";
        case RATE_LIMITED -> "repeat the command in a second";
        case UNAVAILABLE -> "repeat the command when the platform is back";
        case HISTORY_GONE -> "repeat the command to list the current records";
        case NO_ANSWER -> "repeat the command, with a longer --timeout if necessary";
        case BAD_CALL -> "check that the address after --platform is the platform's";
      };
    }
  }

  /**
   * It is unknown whether a change was applied.
   *
   * @param key the key of the record
   */
  record OutcomeUnknown(ObjectKey key) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "it is unknown whether " + key + " was changed",
          List.of("the platform did not confirm the change, and the record can't be read back"),
          "repeat the command when the platform responds: the change is applied at most once");
    }
  }

  /**
   * A process returned no dump.
   *
   * @param address the address of the process
   */
  record DumpUnavailable(String address) implements Failure {
    @Override
    public FailureReport report() {
      return new FailureReport(
          EXIT_FAILURE,
          "there is no dump from " + address,
          List.of("no process responded in time, or the process does not serve /dump"),
          "check that this is the HTTP address of the process");
    }
  }
}
