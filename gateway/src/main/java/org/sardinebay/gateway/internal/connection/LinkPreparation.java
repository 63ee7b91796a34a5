package org.sardinebay.gateway.internal.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.internal.connection.SessionSync;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.Statement;

/**
 * Brings a link to a session's values and prepared statements, one exchange after the other.
 *
 * <pre>{@code
 * preparation.run(link, session.values(), shape, ok -> ...);
 * }</pre>
 */
public final class LinkPreparation {
  /** How long one step may take, in milliseconds: a round trip between regions and two retries. */
  private static final long STEP_TIMEOUT_MILLIS = 500;

  private final MemberProtocol protocol;
  private final PreparedNames names;

  /**
   * Creates a preparation.
   *
   * @param protocol the members' protocol
   * @param names the names of prepared statements
   */
  public LinkPreparation(MemberProtocol protocol, PreparedNames names) {
    this.protocol = protocol;
    this.names = names;
  }

  /**
   * Prepares a link.
   *
   * @param link the link, lent and idle
   * @param values the session's values
   * @param shape the prepared statement that is about to run, if it is one
   * @param done told whether the link is ready; if not, it has been given up
   */
  public void run(
      MemberLink link,
      Map<String, String> values,
      Optional<PreparedShape> shape,
      Consumer<Boolean> done) {
    next(
        link,
        new ArrayDeque<>(SessionSync.steps(link.values(), link.prepared(), values, shape)),
        done);
  }

  private void next(MemberLink link, Deque<SessionSync.Step> steps, Consumer<Boolean> done) {
    SessionSync.Step step = steps.poll();
    if (step == null) {
      done.accept(true);
      return;
    }
    String line = protocol.query(MemberProtocol.OWN_ID, Optional.empty(), text(step));
    link.exchange(
        line,
        STEP_TIMEOUT_MILLIS,
        answer -> {
          if (answer instanceof MemberAnswer.Whole whole && whole.failure().isEmpty()) {
            apply(link, step);
            next(link, steps, done);
          } else {
            link.giveUp(LossCause.DISCARDED);
            done.accept(false);
          }
        });
  }

  private String text(SessionSync.Step step) {
    if (step instanceof SessionSync.Step.SetValue set) {
      return protocol.text(new Statement.SetValue(set.name(), set.value()));
    }
    if (step instanceof SessionSync.Step.Prepare prepare) {
      PreparedShape shape = prepare.shape();
      return protocol.text(new Statement.Prepare(names.name(shape), shape));
    }
    return protocol.resetText();
  }

  private static void apply(MemberLink link, SessionSync.Step step) {
    if (step instanceof SessionSync.Step.SetValue set) {
      link.values().put(set.name(), set.value());
    } else if (step instanceof SessionSync.Step.Prepare prepare) {
      link.prepared().add(prepare.shape());
    } else {
      link.values().clear();
      link.prepared().clear();
    }
  }
}
