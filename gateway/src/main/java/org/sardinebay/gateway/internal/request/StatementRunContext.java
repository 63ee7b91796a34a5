package org.sardinebay.gateway.internal.request;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.connection.ConnectionPreparation;
import org.sardinebay.gateway.internal.connection.PreparedNames;
import org.sardinebay.internal.request.ReadHedging;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.Statement;

/**
 * The collaborators shared by all statements.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param protocol the members' protocol
 * @param names the names of prepared statements on members
 * @param preparation applies a session's state to connections
 * @param log logs and counts the outcomes of statements
 * @param hedging limits the reads that are sent to a second member
 */
public record StatementRunContext(
    Eventloop loop,
    Clock clock,
    MemberProtocol protocol,
    PreparedNames names,
    ConnectionPreparation preparation,
    StatementLog log,
    ReadHedging hedging) {
  /** Delay before a statement that a member refused is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(15);

  /** Returns the text that is sent to a member to run a request. */
  String memberText(StatementRequest request) {
    return request
        .shape()
        .map(shape -> protocol.text(new Statement.Execute(names.name(shape), request.text())))
        .orElse(request.text());
  }

  void retryLater(Runnable retry) {
    loop.delay(RETRY_DELAY, retry);
  }
}
