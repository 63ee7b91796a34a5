package org.sardinebay.ctl.internal.process;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The commands and their operands and options. */
public enum CommandName {
  /** Writes records from a file. */
  APPLY,
  /** Prints one record. */
  GET,
  /** Lists the records of a kind. */
  LIST,
  /** Deletes one record. */
  DELETE,
  /** Prints the changes of a kind as they happen. */
  WATCH,
  /** Prints the status of one record. */
  STATUS,
  /** Prints the state of one process. */
  DUMP,
  /** Explains the outcome of a request from logs. */
  EXPLAIN;

  /**
   * Finds a command by name.
   *
   * @param word the name on the command line
   * @return the command, or empty if the name is unknown
   */
  public static Optional<CommandName> of(String word) {
    return Arrays.stream(values()).filter(command -> command.word().equals(word)).findFirst();
  }

  /**
   * Returns the command's name on the command line.
   *
   * @return the name in lower case
   */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the operands of the command.
   *
   * @return the name of each operand
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
   * Returns the options that the command accepts.
   *
   * @return option names without hyphens
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
   * Returns whether the last operand may be repeated.
   *
   * @return true for {@link #EXPLAIN}, which reads one or more logs
   */
  public boolean takesMoreOperands() {
    return this == EXPLAIN;
  }

  /**
   * Returns the mandatory options.
   *
   * @return option names without hyphens
   */
  public List<String> requiredOptions() {
    return switch (this) {
      case APPLY -> List.of("f");
      case DELETE -> List.of("if-version");
      case GET, LIST, WATCH, STATUS, DUMP, EXPLAIN -> List.of();
    };
  }

  /**
   * Returns whether the command calls the platform.
   *
   * @return false for {@link #DUMP} and {@link #EXPLAIN}
   */
  public boolean needsPlatform() {
    return this != DUMP && this != EXPLAIN;
  }
}
