package org.sardinebay.gateway.internal.request;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.connection.LinkPreparation;
import org.sardinebay.gateway.internal.connection.PreparedNames;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.Statement;

/**
 * What all statements share.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param protocol the members' protocol
 * @param names the names of prepared statements at members
 * @param preparation brings links to a session's state
 * @param log where decisions on statements are logged
 */
public record StatementRunContext(
    Eventloop loop,
    Clock clock,
    MemberProtocol protocol,
    PreparedNames names,
    LinkPreparation preparation,
    StatementLog log) {
  /** The pause before a statement that a member refused is tried again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(15);

  /** What a member is sent to run a request. */
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
