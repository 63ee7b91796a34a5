package org.sardinebay.ctl.internal.process;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The commands with their operands and options. */
public enum CommandName {
  /** Writes records from a file. */
  APPLY,
  /** Shows one record. */
  GET,
  /** Lists the records of a kind. */
  LIST,
  /** Deletes one record. */
  DELETE,
  /** Shows the changes of a kind as they happen. */
  WATCH,
  /** Shows what the system made of one record. */
  STATUS,
  /** Shows the state of one process. */
  DUMP,
  /** Explains from logs what became of a request. */
  EXPLAIN;

  /**
   * Finds a command.
   *
   * @param word the word on the command line
   * @return the command, empty if there is none
   */
  public static Optional<CommandName> of(String word) {
    return Arrays.stream(values()).filter(command -> command.word().equals(word)).findFirst();
  }

  /**
   * The word on the command line.
   *
   * @return the name in lower case
   */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * The words that follow the command.
   *
   * @return a name for each
   */
  public List<String> operands() {
    return switch (this) {
      case APPLY -> List.of();
      case LIST, WATCH -> List.of("KIND");
      case GET, DELETE, STATUS -> List.of("KIND", "NAME");
      case DUMP -> List.of("ADDRESS");
      case EXPLAIN -> List.of("REQUEST-ID", "LOG");
    };
  }

  /**
   * The options that belong to this command.
   *
   * @return names without hyphens
   */
  public List<String> options() {
    return switch (this) {
      case APPLY -> List.of("f", "if-version");
      case GET -> List.of("schema");
      case DELETE -> List.of("if-version");
      case LIST, WATCH, STATUS, DUMP, EXPLAIN -> List.of();
    };
  }

  /**
   * Whether the last operand may be given several times.
   *
   * @return true for {@link #EXPLAIN}, which reads one log or more
   */
  public boolean takesMoreOperands() {
    return this == EXPLAIN;
  }

  /**
   * The options without which the command can't run.
   *
   * @return names without hyphens
   */
  public List<String> requiredOptions() {
    return switch (this) {
      case APPLY -> List.of("f");
      case DELETE -> List.of("if-version");
      case GET, LIST, WATCH, STATUS, DUMP, EXPLAIN -> List.of();
    };
  }

  /**
   * Whether the command calls the platform.
   *
   * @return false for {@link #DUMP} and {@link #EXPLAIN}
   */
  public boolean needsPlatform() {
    return this != DUMP && this != EXPLAIN;
  }
}
