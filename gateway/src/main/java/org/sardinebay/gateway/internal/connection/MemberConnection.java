package org.sardinebay.gateway.internal.connection;

import io.activej.net.socket.tcp.TcpSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.internal.connection.AnswerMatcher;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a member, with the session values and prepared statements that the member holds
 * for it. It carries one exchange at a time, and is reset after an answer that is overdue, violates
 * the protocol or can't be shown to be the request's.
 *
 * <pre>{@code
 * connection.exchange(
 *     protocol.query(id, after, text), AnswerKind.READ, timeoutMillis, answer -> ...);
 * }</pre>
 */
public final class MemberConnection implements LineChannel.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(MemberConnection.class);

  /** The maximum length of a message in bytes, including the terminator. */
  public static final int MAX_LINE_BYTES = (1 << 20) + 2;

  private final MemberId member;
  private final Optional<WorkspaceId> workspace;
  private final MemberProtocol protocol;
  private final Clock clock;
  private final Runnable onLineReceived;
  private final BiConsumer<MemberConnection, LossCause> onEnd;
  private final LineChannel channel;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();
  private final AnswerMatcher matcher = new AnswerMatcher();
  private Optional<Consumer<MemberAnswer>> pendingAnswer = Optional.empty();
  private int answers;
  private boolean statusRequested;
  private long sentAt;
  private long answerDueAt;

  /**
   * Wraps a connected socket.
   *
   * @param member the member at the other end
   * @param workspace the workspace whose statements may run on the connection; empty if it carries
   *     the host's name
   * @param socket the socket
   * @param protocol the protocol
   * @param clock the clock
   * @param onLineReceived called for each line that arrives
   * @param onEnd called once when the connection has ended, with the cause
   */
  public MemberConnection(
      MemberId member,
      Optional<WorkspaceId> workspace,
      TcpSocket socket,
      MemberProtocol protocol,
      Clock clock,
      Runnable onLineReceived,
      BiConsumer<MemberConnection, LossCause> onEnd) {
    this.member = member;
    this.workspace = workspace;
    this.protocol = protocol;
    this.clock = clock;
    this.onLineReceived = onLineReceived;
    this.onEnd = onEnd;
    this.channel = new LineChannel(socket, MAX_LINE_BYTES, this);
  }

  void start() {
    channel.start();
  }

  /**
   * Sends a message and collects the complete answer.
   *
   * @param line the message
   * @param kind the form of a successful answer
   * @param timeoutMillis how long the answer may take
   * @param callback receives the answer; called exactly once, and immediately if the connection has
   *     ended
   * @throws IllegalStateException if an exchange is in progress
   */
  public void exchange(
      String line, AnswerKind kind, long timeoutMillis, Consumer<MemberAnswer> callback) {
    if (channel.closed()) {
      callback.accept(new MemberAnswer.Lost(LossCause.CLOSED));
      return;
    }
    matcher.expect(kind);
    statusRequested |= kind == AnswerKind.STATUS;
    pendingAnswer = Optional.of(callback);
    sentAt = clock.millis();
    answerDueAt = sentAt + timeoutMillis;
    channel.send(line);
  }

  @Override
  public void onLine(String line) {
    onLineReceived.run();
    MemberMessage message = protocol.parse(line);
    AnswerMatcher.Result result = matcher.accept(message);
    if (result instanceof AnswerMatcher.Matched matched) {
      finish(matched);
    } else if (result instanceof AnswerMatcher.Repeated) {
      logUnexpected("member_answer_repeated", message);
    } else if (result instanceof AnswerMatcher.Rejected rejected) {
      logUnexpected("member_answer_unexpected", message);
      abort(lossCause(rejected.reason()));
    }
  }

  private static LossCause lossCause(AnswerMatcher.Reason reason) {
    return switch (reason) {
      case OUT_OF_STEP -> LossCause.OUT_OF_STEP;
      case UNPROVEN -> LossCause.UNPROVEN;
    };
  }

  private void finish(AnswerMatcher.Matched matched) {
    answers++;
    MemberAnswer answer =
        new MemberAnswer.Complete(
            matched.rows(),
            matched.signature(),
            matched.failure(),
            matched.ready(),
            matched.proven(),
            sentAt);
    Consumer<MemberAnswer> callback = pendingAnswer.orElseThrow();
    pendingAnswer = Optional.empty();
    callback.accept(answer);
  }

  /** Logs the message without its text, which may hold a caller's data. */
  private void logUnexpected(String event, MemberMessage message) {
    LOG.atWarn()
        .setMessage(event)
        .addKeyValue("member", member.value())
        .addKeyValue("message", message.getClass().getSimpleName())
        .addKeyValue("awaited", pendingAnswer.isPresent())
        .addKeyValue("answers", answers)
        .addKeyValue("after_millis", clock.millis() - sentAt)
        .log();
  }

  @Override
  public void onTooLong() {
    abort(LossCause.OUT_OF_STEP);
  }

  @Override
  public void onClosed() {
    Optional<AnswerMatcher.Matched> error = matcher.end();
    if (error.isPresent()) {
      onEnd.accept(this, LossCause.CLOSED);
      finish(error.get());
    } else {
      onEnded(LossCause.CLOSED);
    }
  }

  /**
   * Closes the connection with a TCP reset, so that delayed data is not delivered later.
   *
   * @param cause the reason, reported to the pending exchange
   */
  public void abort(LossCause cause) {
    if (!channel.closed()) {
      channel.reset();
      onEnded(cause);
    }
  }

  /** Returns how long the pending answer has been awaited, 0 if none is pending. */
  long pendingMillis(long now) {
    return pendingAnswer.isPresent() ? now - sentAt : 0;
  }

  /** Aborts the connection if its answer is overdue. */
  void abortIfOverdue(long now) {
    if (pendingAnswer.isPresent() && now >= answerDueAt) {
      abort(LossCause.ANSWER_TIMEOUT);
    }
  }

  private void onEnded(LossCause cause) {
    Optional<Consumer<MemberAnswer>> callback = pendingAnswer;
    pendingAnswer = Optional.empty();
    onEnd.accept(this, cause);
    callback.ifPresent(c -> c.accept(new MemberAnswer.Lost(cause)));
  }

  /**
   * Returns the member at the other end.
   *
   * @return the member's id
   */
  public MemberId member() {
    return member;
  }

  /**
   * Returns the workspace that the connection was started for.
   *
   * @return the workspace, empty if the connection carries this host's name
   */
  public Optional<WorkspaceId> workspace() {
    return workspace;
  }

  /**
   * Whether the connection can carry an exchange.
   *
   * @return false once it has ended
   */
  public boolean usable() {
    return !channel.closed();
  }

  /**
   * Whether an answer is awaited.
   *
   * @return true during an exchange
   */
  public boolean busy() {
    return pendingAnswer.isPresent();
  }

  /**
   * Whether a status was requested on this connection.
   *
   * @return true if a later status could equal an earlier one, which proves nothing
   */
  boolean statusRequested() {
    return statusRequested;
  }

  /**
   * Returns the state of the transaction on this connection.
   *
   * @return the state in the member's last answer
   */
  public TransactionState state() {
    return matcher.state();
  }

  /**
   * Whether each error so far was shown to be the answer to its request.
   *
   * @return false if the next answer may be the one to a request that seemed to have failed
   */
  boolean errorsProven() {
    return matcher.errorsProven();
  }

  /**
   * Whether the connection may be returned to its pool.
   *
   * @return false if it has ended, or if a later answer could not be told from an earlier one
   */
  public boolean reusable() {
    return usable() && !busy() && state() == TransactionState.IDLE && matcher.reusable();
  }

  /**
   * Returns the session values that the member holds for this connection.
   *
   * @return a live map; update it after each statement that changes the values
   */
  public Map<String, String> values() {
    return values;
  }

  /**
   * Returns the prepared statements that the member holds for this connection.
   *
   * @return a live set; update it after each statement that prepares or drops one
   */
  public Set<PreparedShape> prepared() {
    return prepared;
  }
}
