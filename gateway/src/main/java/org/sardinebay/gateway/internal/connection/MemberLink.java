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
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.TransactionState;

/**
 * One connection to a member, with the session values and prepared statements that it holds. It
 * carries one exchange at a time; after a missing answer, or one out of step, it is reset.
 *
 * <pre>{@code
 * link.exchange(protocol.query(id, after, text), timeoutMillis, answer -> ...);
 * }</pre>
 */
public final class MemberLink implements LineChannel.Listener {
  /** The longest message on the wire, with its terminator. */
  public static final int MAX_LINE_BYTES = (1 << 20) + 2;

  private final MemberId member;
  private final MemberProtocol protocol;
  private final Clock clock;
  private final Runnable onLine;
  private final Consumer<MemberLink> onEnd;
  private final LineChannel channel;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();
  private Optional<Consumer<MemberAnswer>> waiting = Optional.empty();
  private List<String> rows = new ArrayList<>();
  private Optional<String> signature = Optional.empty();
  private Optional<MemberMessage.Failed> failure = Optional.empty();
  private long askedAt;
  private long answerDueAt;
  private long releasedAt;
  private TransactionState state = TransactionState.IDLE;

  /**
   * Wraps a connected socket.
   *
   * @param member the member at its other end
   * @param socket the socket
   * @param protocol the protocol
   * @param clock the clock
   * @param onLine called for each line that arrives
   * @param onEnd called once when the link is of no use any more
   */
  public MemberLink(
      MemberId member,
      TcpSocket socket,
      MemberProtocol protocol,
      Clock clock,
      Runnable onLine,
      Consumer<MemberLink> onEnd) {
    this.member = member;
    this.protocol = protocol;
    this.clock = clock;
    this.onLine = onLine;
    this.onEnd = onEnd;
    this.channel = new LineChannel(socket, MAX_LINE_BYTES, this);
  }

  void start() {
    channel.start();
  }

  /**
   * Sends a message and waits for the whole answer.
   *
   * @param line the message
   * @param timeoutMillis how long the answer may take
   * @param callback takes the answer; called exactly once
   */
  public void exchange(String line, long timeoutMillis, Consumer<MemberAnswer> callback) {
    if (channel.closed()) {
      callback.accept(new MemberAnswer.Lost(LossCause.CLOSED));
      return;
    }
    if (waiting.isPresent()) {
      throw new IllegalStateException("an exchange is in progress with member " + member);
    }
    waiting = Optional.of(callback);
    rows = new ArrayList<>();
    signature = Optional.empty();
    failure = Optional.empty();
    askedAt = clock.millis();
    answerDueAt = askedAt + timeoutMillis;
    channel.send(line);
  }

  @Override
  public void onLine(String line) {
    onLine.run();
    MemberMessage message = protocol.parse(line);
    if (waiting.isEmpty()) {
      giveUp(LossCause.OUT_OF_STEP);
    } else if (message instanceof MemberMessage.Row row) {
      rows.add(row.text());
    } else if (message instanceof MemberMessage.Done done && outcomeOpen()) {
      signature = Optional.of(done.signature());
    } else if (message instanceof MemberMessage.Failed failed && outcomeOpen()) {
      failure = Optional.of(failed);
    } else if (message instanceof MemberMessage.Ready ready) {
      finish(ready);
    } else {
      giveUp(LossCause.OUT_OF_STEP);
    }
  }

  private boolean outcomeOpen() {
    return signature.isEmpty() && failure.isEmpty();
  }

  private void finish(MemberMessage.Ready ready) {
    state = ready.state();
    MemberAnswer answer = new MemberAnswer.Whole(rows, signature, failure, ready, askedAt);
    Consumer<MemberAnswer> callback = waiting.orElseThrow();
    waiting = Optional.empty();
    callback.accept(answer);
  }

  @Override
  public void onTooLong() {
    giveUp(LossCause.OUT_OF_STEP);
  }

  @Override
  public void onClosed() {
    if (waiting.isPresent() && failure.isPresent()) {
      // A member that refuses a connection sends an error and closes, without the usual end.
      Consumer<MemberAnswer> callback = waiting.get();
      waiting = Optional.empty();
      onEnd.accept(this);
      callback.accept(
          new MemberAnswer.Whole(
              rows,
              signature,
              failure,
              new MemberMessage.Ready(TransactionState.FAILED, Optional.empty()),
              askedAt));
      return;
    }
    ended(LossCause.CLOSED);
  }

  /**
   * Gives the link up with a reset, so that nothing held up on the way arrives later.
   *
   * @param cause why
   */
  public void giveUp(LossCause cause) {
    if (!channel.closed()) {
      channel.reset();
      ended(cause);
    }
  }

  /** How long the answer in progress has been waited for, 0 if there is none. */
  long waitingMillis(long now) {
    return waiting.isPresent() ? now - askedAt : 0;
  }

  /** Gives the link up if its answer is overdue. */
  void checkDue(long now) {
    if (waiting.isPresent() && now >= answerDueAt) {
      giveUp(LossCause.ANSWER_TIMEOUT);
    }
  }

  private void ended(LossCause cause) {
    Optional<Consumer<MemberAnswer>> callback = waiting;
    waiting = Optional.empty();
    onEnd.accept(this);
    callback.ifPresent(c -> c.accept(new MemberAnswer.Lost(cause)));
  }

  /**
   * The member at the other end.
   *
   * @return its id
   */
  public MemberId member() {
    return member;
  }

  /**
   * Whether the link can carry an exchange.
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
    return waiting.isPresent();
  }

  /**
   * The state of the transaction on this link.
   *
   * @return as the member said last
   */
  public TransactionState state() {
    return state;
  }

  /**
   * The session values that the member holds for this link.
   *
   * @return a live map, to be changed after each statement that changes them
   */
  public Map<String, String> values() {
    return values;
  }

  /**
   * The prepared statements that the member holds for this link.
   *
   * @return a live set, to be changed after each statement that changes it
   */
  public Set<PreparedShape> prepared() {
    return prepared;
  }

  long releasedAt() {
    return releasedAt;
  }

  void releasedAt(long now) {
    releasedAt = now;
  }
}
