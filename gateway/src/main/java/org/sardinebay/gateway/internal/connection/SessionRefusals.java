package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.Clock;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.process.LogThrottle;
import org.sardinebay.session.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the sessions that this host refuses, at most a few lines a second for all callers
 * together.
 *
 * <pre>{@code
 * refusals.record(database, workspace, ErrorCode.NOT_AUTHORIZED, "the key was withdrawn");
 * }</pre>
 */
public final class SessionRefusals {
  private static final Logger LOG = LoggerFactory.getLogger(SessionRefusals.class);

  /** Enough to see who is refused and why; the metrics count all of them. */
  private static final int LINES_PER_SECOND = 5;

  private final Clock clock;
  private final LogThrottle throttle = new LogThrottle(LINES_PER_SECOND);

  /**
   * Creates an instance that has recorded nothing.
   *
   * @param clock the clock
   */
  public SessionRefusals(Clock clock) {
    this.clock = clock;
  }

  /** Records a session that is refused, or ended by a refusal. */
  void record(
      Optional<String> database, Optional<WorkspaceId> workspace, ErrorCode code, String text) {
    throttle
        .admit(clock.millis())
        .ifPresent(
            unlogged ->
                LOG.atInfo()
                    .setMessage("session_refused")
                    .addKeyValue("database", database.orElse("-"))
                    .addKeyValue("workspace", workspace.map(WorkspaceId::value).orElse("-"))
                    .addKeyValue("code", code)
                    .addKeyValue("text", text)
                    .addKeyValue("unlogged", unlogged)
                    .log());
  }

  /**
   * Returns how many sessions were refused.
   *
   * @return the number since the start, logged or not
   */
  public long count() {
    return throttle.events();
  }
}
