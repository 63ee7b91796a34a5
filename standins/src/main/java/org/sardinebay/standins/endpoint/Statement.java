package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** A statement in the query language of the stand-in. */
sealed interface Statement {
  /** The maximum duration of {@code sleep}, in milliseconds. */
  long MAX_SLEEP_MILLIS = 60_000;

  /** Parses a statement; empty if the syntax is invalid. */
  static Optional<Statement> parse(String text) {
    String[] words = text.strip().split(" +", 3);
    String argument = words.length > 1 ? words[1] : "";
    if (words.length == 3) {
      return switch (words[0]) {
        case "put" -> Optional.of(new Put(argument, words[2]));
        case "append" -> Optional.of(new Append(argument, words[2]));
        case "add" ->
            number(words[2]).stream().<Statement>mapToObj(n -> new Add(argument, n)).findFirst();
        default -> Optional.empty();
      };
    }
    return switch (words[0]) {
      case "get" -> argument.isEmpty() ? Optional.empty() : Optional.of(new Get(argument));
      case "scan" -> Optional.of(new Scan(argument));
      case "sleep" ->
          number(argument).stream()
              .filter(millis -> millis >= 0 && millis <= MAX_SLEEP_MILLIS)
              .<Statement>mapToObj(Sleep::new)
              .findFirst();
      default -> Optional.empty();
    };
  }

  /** Returns whether the statement changes data. */
  default boolean writes() {
    return false;
  }

  /** Returns how long the statement occupies its slot beyond the service time. */
  default long extraMillis() {
    return 0;
  }

  /** Evaluates the statement; empty if the current value has the wrong type. */
  Optional<Evaluation> evaluate(View view);

  private static OptionalLong number(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Reads a value. */
  record Get(String key) implements Statement {
    @Override
    public Optional<Evaluation> evaluate(View view) {
      return Optional.of(new Evaluation(view.elements(key), List.of()));
    }
  }

  /** Reads all values whose keys start with a prefix. */
  record Scan(String prefix) implements Statement {
    @Override
    public Optional<Evaluation> evaluate(View view) {
      List<String> rows = new ArrayList<>();
      view.scan(prefix)
          .forEach((key, elements) -> rows.add(key + "=" + String.join(",", elements)));
      return Optional.of(new Evaluation(rows, List.of()));
    }
  }

  /** Replaces a value. */
  record Put(String key, String value) implements Statement {
    @Override
    public boolean writes() {
      return true;
    }

    @Override
    public Optional<Evaluation> evaluate(View view) {
      Effect effect = new Effect(key, Effect.Mode.SET, value);
      return Optional.of(new Evaluation(List.of(), List.of(effect)));
    }
  }

  /** Appends an element to a list. */
  record Append(String key, String value) implements Statement {
    @Override
    public boolean writes() {
      return true;
    }

    @Override
    public Optional<Evaluation> evaluate(View view) {
      Effect effect = new Effect(key, Effect.Mode.APPEND, value);
      return Optional.of(new Evaluation(List.of(), List.of(effect)));
    }
  }

  /** Adds to a number and returns the sum. */
  record Add(String key, long number) implements Statement {
    @Override
    public boolean writes() {
      return true;
    }

    @Override
    public Optional<Evaluation> evaluate(View view) {
      List<String> elements = view.elements(key);
      if (elements.size() > 1) {
        return Optional.empty();
      }
      OptionalLong current = elements.isEmpty() ? OptionalLong.of(0) : number(elements.get(0));
      return current.stream().mapToObj(this::sum).findFirst();
    }

    private Evaluation sum(long current) {
      String sum = Long.toString(current + number);
      return new Evaluation(List.of(sum), List.of(new Effect(key, Effect.Mode.SET, sum)));
    }

    private static OptionalLong number(String text) {
      return Statement.number(text);
    }
  }

  /** Occupies its slot for the given time. */
  record Sleep(long millis) implements Statement {
    @Override
    public long extraMillis() {
      return millis;
    }

    @Override
    public Optional<Evaluation> evaluate(View view) {
      return Optional.of(new Evaluation(List.of(), List.of()));
    }
  }
}
