package org.sardinebay.gateway.internal.connection;

import io.activej.net.socket.tcp.TcpSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a member, with the session values and prepared statements that the member holds
 * for it. It carries one exchange at a time, and is reset after an answer that is overdue or
 * violates the protocol.
 *
 * <pre>{@code
 * connection.exchange(protocol.query(id, after, text), timeoutMillis, answer -> ...);
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
  private final Consumer<MemberConnection> onEnd;
  private final LineChannel channel;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();
  private Optional<Consumer<MemberAnswer>> pendingAnswer = Optional.empty();
  private List<String> rows = new ArrayList<>();
  private Optional<String> signature = Optional.empty();
  private Optional<MemberMessage.Failed> failure = Optional.empty();
  private int answers;
  private long sentAt;
  private long answerDueAt;
  private TransactionState state = TransactionState.IDLE;

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
   * @param onEnd called once when the connection has ended
   */
  public MemberConnection(
      MemberId member,
      Optional<WorkspaceId> workspace,
      TcpSocket socket,
      MemberProtocol protocol,
      Clock clock,
      Runnable onLineReceived,
      Consumer<MemberConnection> onEnd) {
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
   * @param timeoutMillis how long the answer may take
   * @param callback receives the answer; called exactly once, and immediately if the connection has
   *     ended
   * @throws IllegalStateException if an exchange is in progress
   */
  public void exchange(String line, long timeoutMillis, Consumer<MemberAnswer> callback) {
    if (channel.closed()) {
      callback.accept(new MemberAnswer.Lost(LossCause.CLOSED));
      return;
    }
    if (pendingAnswer.isPresent()) {
      throw new IllegalStateException("an exchange is in progress with member " + member);
    }
    pendingAnswer = Optional.of(callback);
    rows = new ArrayList<>();
    signature = Optional.empty();
    failure = Optional.empty();
    sentAt = clock.millis();
    answerDueAt = sentAt + timeoutMillis;
    channel.send(line);
  }

  @Override
  public void onLine(String line) {
    onLineReceived.run();
    MemberMessage message = protocol.parse(line);
    if (pendingAnswer.isEmpty()) {
      abortOutOfStep(message);
    } else if (message instanceof MemberMessage.Row row) {
      rows.add(row.text());
    } else if (message instanceof MemberMessage.Done done && awaitingOutcome()) {
      signature = Optional.of(done.signature());
    } else if (message instanceof MemberMessage.Failed failed && awaitingOutcome()) {
      failure = Optional.of(failed);
    } else if (message instanceof MemberMessage.Ready ready) {
      finish(ready);
    } else {
      abortOutOfStep(message);
    }
  }

  /** Logs the message without its text, which may hold a caller's data. */
  private void abortOutOfStep(MemberMessage message) {
    LOG.atWarn()
        .setMessage("member_answer_unexpected")
        .addKeyValue("member", member.value())
        .addKeyValue("message", message.getClass().getSimpleName())
        .addKeyValue("awaited", pendingAnswer.isPresent())
        .addKeyValue("answers", answers)
        .addKeyValue("after_millis", clock.millis() - sentAt)
        .log();
    abort(LossCause.OUT_OF_STEP);
  }

  private boolean awaitingOutcome() {
    return signature.isEmpty() && failure.isEmpty();
  }

  private void finish(MemberMessage.Ready ready) {
    state = ready.state();
    answers++;
    MemberAnswer answer = new MemberAnswer.Complete(rows, signature, failure, ready, sentAt);
    Consumer<MemberAnswer> callback = pendingAnswer.orElseThrow();
    pendingAnswer = Optional.empty();
    callback.accept(answer);
  }

  @Override
  public void onTooLong() {
    abort(LossCause.OUT_OF_STEP);
  }

  @Override
  public void onClosed() {
    if (pendingAnswer.isPresent() && failure.isPresent()) {
      // A member that refuses a connection sends an error and closes, without a ready message.
      Consumer<MemberAnswer> callback = pendingAnswer.get();
      pendingAnswer = Optional.empty();
      onEnd.accept(this);
      callback.accept(
          new MemberAnswer.Complete(
              rows,
              signature,
              failure,
              new MemberMessage.Ready(TransactionState.FAILED, Optional.empty()),
              sentAt));
      return;
    }
    onEnded(LossCause.CLOSED);
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
    onEnd.accept(this);
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
   * Returns the state of the transaction on this connection.
   *
   * @return the state last reported by the member
   */
  public TransactionState state() {
    return state;
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
