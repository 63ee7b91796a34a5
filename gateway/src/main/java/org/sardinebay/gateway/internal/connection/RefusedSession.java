package org.sardinebay.gateway.internal.connection;

import org.sardinebay.internal.request.FinalAnswers;
import org.sardinebay.internal.request.RetryPolicy;
import org.sardinebay.session.CallerProtocol;

/** A connection of a caller that a stopping host accepts only to refuse the session's start. */
public final class RefusedSession implements LineChannel.Listener {
  private final CallerProtocol protocol;
  private LineChannel channel;

  /**
   * Creates a session that has not received its start message.
   *
   * @param protocol the callers' protocol
   */
  public RefusedSession(CallerProtocol protocol) {
    this.protocol = protocol;
  }

  /**
   * Starts to receive on a connection.
   *
   * @param connection the connection
   */
  public void start(LineChannel connection) {
    channel = connection;
    channel.start();
  }

  @Override
  public void onLine(String line) {
    RetryPolicy.Step.GiveUp answer = FinalAnswers.hostStopping();
    channel.send(protocol.error(answer.code(), answer.text()));
    channel.close();
  }

  @Override
  public void onTooLong() {
    channel.close();
  }

  @Override
  public void onClosed() {}
}
