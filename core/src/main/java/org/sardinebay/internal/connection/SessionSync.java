package org.sardinebay.internal.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.session.PreparedShape;

/**
 * Computes the statements that bring a pooled connection into the state of a session before the
 * session's statement runs: exactly the session's values, and the prepared statement that is
 * needed.
 *
 * <pre>{@code
 * for (SessionSync.Step step : SessionSync.steps(held, heldShapes, sessionValues, shape)) { ... }
 * }</pre>
 */
public final class SessionSync {
  /** One statement to send to the member. */
  public sealed interface Step {
    /** Clears all session values and prepared statements. */
    record Reset() implements Step {}

    /**
     * Sets a session value.
     *
     * @param name the value's name
     * @param value the value
     */
    record SetValue(String name, String value) implements Step {}

    /**
     * Prepares a statement.
     *
     * @param shape the statement's definition
     */
    record Prepare(PreparedShape shape) implements Step {}
  }

  private SessionSync() {}

  /**
   * Computes the steps.
   *
   * @param heldValues the session values that are set on the connection
   * @param heldShapes the statements that are prepared on the connection
   * @param sessionValues the session's values
   * @param shape the definition of the statement that is about to run, if it is a prepared one
   * @return the steps to send to the member, in order
   */
  public static List<Step> steps(
      Map<String, String> heldValues,
      Set<PreparedShape> heldShapes,
      Map<String, String> sessionValues,
      Optional<PreparedShape> shape) {
    List<Step> steps = new ArrayList<>();
    boolean reset = !sessionValues.keySet().containsAll(heldValues.keySet());
    if (reset) {
      steps.add(new Step.Reset());
    }
    sessionValues.forEach(
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
