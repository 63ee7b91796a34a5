package org.sardinebay.standins.impeller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Address;

/** A caller whose attempts are kept for {@link RuleCheck}. */
final class RecordedCaller implements AutoCloseable {
  /**
   * One statement and its answer.
   *
   * @param id the id of the request
   * @param text the text of the statement
   * @param transaction the id of the BEGIN that the statement follows, empty outside a transaction
   * @param values the session values that were acknowledged before
   * @param shape the shape of the prepared statement that an EXEC runs
   * @param answer the lines of the answer
   */
  record Attempt(
      String id,
      String text,
      Optional<String> transaction,
      Map<String, String> values,
      Optional<String> shape,
      List<String> answer) {
    String kind() {
      return text.split(" ", 2)[0];
    }

    /** Returns the DONE or ERR line, "closed" if there is none. */
    String outcome() {
      return answer.stream()
          .filter(line -> line.startsWith("DONE") || line.startsWith("ERR"))
          .findFirst()
          .orElse("closed");
    }

    List<String> rows() {
      return answer.stream()
          .filter(line -> line.startsWith("ROW "))
          .map(line -> line.substring("ROW ".length()))
          .toList();
    }

    boolean succeeded() {
      return outcome().startsWith("DONE") && answer.get(answer.size() - 1).startsWith("READY");
    }
  }

  private final LineCaller caller;
  private final List<Attempt> attempts;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, String> shapes = new HashMap<>();
  private Optional<String> transaction = Optional.empty();

  /** Opens a session; {@code attempts} receives the attempts and has to be thread-safe. */
  RecordedCaller(Address gateway, String database, List<Attempt> attempts) throws IOException {
    this.caller = LineCaller.open(gateway, database);
    this.attempts = attempts;
  }

  Attempt query(String text) throws IOException {
    String[] words = text.split(" ", 3);
    Optional<String> shape =
        words[0].equals("EXEC") ? Optional.ofNullable(shapes.get(words[1])) : Optional.empty();
    Map<String, String> valuesBefore = Map.copyOf(values);
    List<String> answer = new ArrayList<>();
    try {
      answer.addAll(caller.query(text));
    } catch (IOException e) {
      answer.add("closed");
    }
    Attempt attempt =
        new Attempt(caller.lastRequestId(), text, transaction, valuesBefore, shape, answer);
    attempts.add(attempt);
    apply(attempt, words);
    return attempt;
  }

  private void apply(Attempt attempt, String[] words) {
    if (attempt.kind().equals("COMMIT") || attempt.kind().equals("ROLLBACK")) {
      transaction = Optional.empty();
    }
    if (!attempt.succeeded()) {
      return;
    }
    switch (attempt.kind()) {
      case "SET" -> values.put(words[1], words[2]);
      case "PREPARE" -> shapes.put(words[1], words[2]);
      case "DEALLOC" -> shapes.remove(words[1]);
      case "BEGIN" -> transaction = Optional.of(attempt.id());
      default -> {}
    }
  }

  @Override
  public void close() throws IOException {
    caller.close();
  }
}
