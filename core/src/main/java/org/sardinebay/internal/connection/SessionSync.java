package org.sardinebay.internal.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.session.PreparedShape;

/**
 * Works out what a pooled connection must be told before it may run a session's statement, so that
 * it holds exactly the session's values and the prepared statement needed.
 *
 * <pre>{@code
 * for (SessionSync.Step step : SessionSync.steps(held, heldShapes, wanted, shape)) { ... }
 * }</pre>
 */
public final class SessionSync {
  /** One thing to tell the member. */
  public sealed interface Step {
    /** Clear all values and prepared statements. */
    record Reset() implements Step {}

    /**
     * Set a value.
     *
     * @param name its name
     * @param value the value
     */
    record SetValue(String name, String value) implements Step {}

    /**
     * Prepare a statement.
     *
     * @param shape what it does
     */
    record Prepare(PreparedShape shape) implements Step {}
  }

  private SessionSync() {}

  /**
   * Works out the steps.
   *
   * @param heldValues the values that the connection holds
   * @param heldShapes the prepared statements that it holds
   * @param wanted the session's values
   * @param shape the prepared statement that is about to run, if it is one
   * @return what to tell the member, in order
   */
  public static List<Step> steps(
      Map<String, String> heldValues,
      Set<PreparedShape> heldShapes,
      Map<String, String> wanted,
      Optional<PreparedShape> shape) {
    List<Step> steps = new ArrayList<>();
    boolean reset = !wanted.keySet().containsAll(heldValues.keySet());
    if (reset) {
      steps.add(new Step.Reset());
    }
    wanted.forEach(
        (name, value) -> {
          if (reset || !value.equals(heldValues.get(name))) {
            steps.add(new Step.SetValue(name, value));
          }
        });
    shape
        .filter(s -> reset || !heldShapes.contains(s))
        .ifPresent(s -> steps.add(new Step.Prepare(s)));
    return steps;
  }
}
