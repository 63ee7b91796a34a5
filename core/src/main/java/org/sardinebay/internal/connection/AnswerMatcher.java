package org.sardinebay.internal.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.TransactionState;

/**
 * Assembles the messages of one member connection to answers and decides whether an answer is the
 * one to the request that is outstanding. Answers do not name their request, and a member may send
 * one again at any later time.
 *
 * <pre>{@code
 * matcher.expect(AnswerKind.READ);
 * AnswerMatcher.Result result = matcher.accept(message);
 * }</pre>
 *
 * <p>A signed answer is proven by a signature that the connection has not seen: it belongs to a
 * request that has not been answered, and only one is outstanding. An answer without a signature is
 * proven if no earlier one reads the same; of a status, only the row is compared. Acknowledgements
 * often read the same and are accepted unproven: members process the requests of a connection in
 * order, so the true one then arrives while the next request is outstanding and is passed over.
 * This relies on members that don't answer SESSION_STATE and ROLLBACK with an error.
 *
 * <p>After a {@link Rejected} result the connection can't be used any more, since a later answer
 * may be the rejected request's.
 */
public final class AnswerMatcher {
  /** The number of answers to remember for a connection; it is replaced after that many. */
  static final int MAX_REMEMBERED_ANSWERS = 512;

  /** The result of a message. */
  public sealed interface Result {}

  /** The answer is not complete. */
  public record Incomplete() implements Result {}

  /**
   * The answer to the outstanding request.
   *
   * @param rows the rows
   * @param signature the member's signature, if a read, write or commit succeeded
   * @param failure the error, if the request failed
   * @param ready the message that ended the answer
   * @param proven false if this is an error that may repeat an earlier one: the request may have
   *     succeeded
   */
  public record Matched(
      List<String> rows,
      Optional<String> signature,
      Optional<MemberMessage.Failed> failure,
      MemberMessage.Ready ready,
      boolean proven)
      implements Result {
    private Matched withoutProof() {
      return new Matched(rows, signature, failure, ready, false);
    }
  }

  /** An answer to an earlier request has come again; the outstanding one is still awaited. */
  public record Repeated() implements Result {}

  /**
   * Whether the request was answered can't be told.
   *
   * @param reason the reason
   */
  public record Rejected(Reason reason) implements Result {}

  /** Why an answer was rejected. */
  public enum Reason {
    /** No request is outstanding, or the message can't be part of its answer. */
    OUT_OF_STEP,
    /** The answer may repeat an earlier one of the connection. */
    UNPROVEN
  }

  private static final Result INCOMPLETE = new Incomplete();
  private static final Result REPEATED = new Repeated();
  private static final Result OUT_OF_STEP = new Rejected(Reason.OUT_OF_STEP);
  private static final Result UNPROVEN = new Rejected(Reason.UNPROVEN);

  /** Hash codes of the rows of each signed answer, by signature. */
  private final Map<String, Integer> rowsBySignature = new HashMap<>();

  /** Hash codes of the rows of each answer, by the hash code of its first row. */
  private final Map<Integer, Integer> rowsByFirstRow = new HashMap<>();

  /** The errors so far; empty for an acknowledgement. */
  private final Set<Optional<MemberMessage.Failed>> outcomes = new HashSet<>();

  private final Set<Unsigned> unsigned = new HashSet<>();
  private Optional<MemberMessage.Ready> opening = Optional.empty();
  private Optional<AnswerKind> expected = Optional.empty();
  private TransactionState state = TransactionState.IDLE;
  private List<String> rows = new ArrayList<>();
  private Optional<MemberMessage.Done> success = Optional.empty();
  private Optional<MemberMessage.Failed> failure = Optional.empty();
  private boolean acknowledged;
  private boolean unprovenError;
  private boolean repeated;

  /** An answer without rows and signature. */
  private record Unsigned(Optional<MemberMessage.Failed> failure, MemberMessage.Ready ready) {}

  /**
   * Starts to wait for the answer to a request.
   *
   * @param kind the form of the answer
   * @throws IllegalStateException if a request is outstanding
   */
  public void expect(AnswerKind kind) {
    if (expected.isPresent()) {
      throw new IllegalStateException("a request is outstanding");
    }
    expected = Optional.of(kind);
  }

  /**
   * Whether a request is outstanding.
   *
   * @return true from {@link #expect} until its answer was matched or rejected
   */
  public boolean awaiting() {
    return expected.isPresent();
  }

  /**
   * Returns the state of the transaction on this connection.
   *
   * @return the state in the last matched answer
   */
  public TransactionState state() {
    return state;
  }

  /**
   * Whether each error so far was shown to be the answer to its request.
   *
   * @return false if the next answer may be the one to a request that seemed to have failed
   */
  public boolean errorsProven() {
    return !unprovenError;
  }

  /**
   * Whether the connection may carry another request. After an error that may be a repetition, the
   * next answer may be the one to the request that seemed to have failed.
   *
   * @return false if the connection has to be replaced
   */
  public boolean reusable() {
    return !unprovenError
        && !repeated
        && rowsBySignature.size() < MAX_REMEMBERED_ANSWERS
        && rowsByFirstRow.size() < MAX_REMEMBERED_ANSWERS
        && unsigned.size() < MAX_REMEMBERED_ANSWERS;
  }

  /**
   * Accepts a message.
   *
   * @param message the message
   * @return what it means for the outstanding request
   */
  public Result accept(MemberMessage message) {
    Result result = add(message);
    if (result instanceof Matched matched) {
      state = matched.ready().state();
    }
    if (!(result instanceof Incomplete || result instanceof Repeated)) {
      expected = Optional.empty();
    }
    return result;
  }

  /**
   * Accepts the end of the connection. A member that refuses a session sends an error and closes.
   *
   * @return the error that was received without the message that ends an answer, if any
   */
  public Optional<Matched> end() {
    if (failure.isEmpty() || !expected.equals(Optional.of(AnswerKind.SESSION_START))) {
      return Optional.empty();
    }
    Result result = accept(new MemberMessage.Ready(TransactionState.FAILED, Optional.empty()));
    return result instanceof Matched matched ? Optional.of(matched) : Optional.empty();
  }

  private Result add(MemberMessage message) {
    boolean hasOutcome = success.isPresent() || failure.isPresent();
    if (expected.isEmpty()) {
      return OUT_OF_STEP;
    }
    if (message instanceof MemberMessage.Ready ready) {
      return complete(expected.get(), ready);
    }
    if (hasOutcome) {
      return OUT_OF_STEP;
    }
    if (message instanceof MemberMessage.Row row) {
      rows.add(row.text());
    } else if (message instanceof MemberMessage.Done done) {
      success = Optional.of(done);
    } else if (message instanceof MemberMessage.Failed error) {
      failure = Optional.of(error);
    } else {
      return OUT_OF_STEP;
    }
    return INCOMPLETE;
  }

  private Result complete(AnswerKind kind, MemberMessage.Ready ready) {
    Optional<MemberMessage.Done> done = success;
    Matched answer =
        new Matched(rows, done.flatMap(MemberMessage.Done::signature), failure, ready, true);
    rows = new ArrayList<>();
    success = Optional.empty();
    failure = Optional.empty();
    if (answer.failure().isPresent()) {
      return onError(answer);
    }
    if (done.isEmpty()) {
      return onReadyAlone(kind, answer);
    }
    return answer.signature().isPresent() ? onSigned(kind, answer) : onUnsigned(kind, answer);
  }

  private Result onError(Matched answer) {
    if (!answer.rows().isEmpty()) {
      return OUT_OF_STEP;
    }
    boolean proven = remember(answer) && !repeated;
    unprovenError |= !proven;
    return proven ? answer : answer.withoutProof();
  }

  private Result onReadyAlone(AnswerKind kind, Matched answer) {
    if (!answer.rows().isEmpty()) {
      return OUT_OF_STEP;
    }
    if (kind != AnswerKind.SESSION_START) {
      return passOver();
    }
    opening = Optional.of(answer.ready());
    return answer;
  }

  private Result onSigned(AnswerKind kind, Matched answer) {
    int rowsHash = answer.rows().hashCode();
    Integer earlier = rowsBySignature.putIfAbsent(answer.signature().get(), rowsHash);
    if (earlier != null) {
      return earlier == rowsHash ? passOver() : OUT_OF_STEP;
    }
    boolean rowsOfAnother = kind != AnswerKind.READ && !answer.rows().isEmpty();
    if (!kind.signed() || answer.ready().state() != stateAfter(kind) || rowsOfAnother) {
      return OUT_OF_STEP;
    }
    return beginsLikeAnother(answer.rows(), rowsHash) ? UNPROVEN : answer;
  }

  /**
   * Whether the first rows may be those of an earlier answer whose repetition was cut off before
   * its end.
   */
  private boolean beginsLikeAnother(List<String> answered, int rowsHash) {
    if (answered.isEmpty()) {
      return false;
    }
    Integer earlier = rowsByFirstRow.putIfAbsent(answered.get(0).hashCode(), rowsHash);
    return earlier != null && earlier != rowsHash;
  }

  private Result onUnsigned(AnswerKind kind, Matched answer) {
    return answer.rows().isEmpty() ? onAcknowledged(kind, answer) : onStatus(kind, answer);
  }

  private Result onAcknowledged(AnswerKind kind, Matched answer) {
    boolean opened = answer.ready().state() == TransactionState.OPEN;
    boolean distinct = !opened || remember(answer);
    boolean fits =
        !kind.signed()
            && kind != AnswerKind.SESSION_START
            && kind != AnswerKind.STATUS
            && answer.ready().state() == stateAfter(kind);
    if (!fits) {
      return acknowledged ? passOver() : OUT_OF_STEP;
    }
    acknowledged = true;
    return distinct || kind != AnswerKind.TRANSACTION_START ? answer : UNPROVEN;
  }

  /** Status rows are compared without the ready message, which may end a cut off repetition. */
  private Result onStatus(AnswerKind kind, Matched answer) {
    int rowHash = answer.rows().get(0).hashCode();
    boolean oneRow = answer.rows().size() == 1;
    boolean known = rowsByFirstRow.putIfAbsent(rowHash, answer.rows().hashCode()) != null;
    if (!oneRow || (!known && kind != AnswerKind.STATUS)) {
      return OUT_OF_STEP;
    }
    if (kind != AnswerKind.STATUS) {
      return passOver();
    }
    return known ? UNPROVEN : answer;
  }

  private TransactionState stateAfter(AnswerKind kind) {
    return switch (kind) {
      case TRANSACTION_START -> TransactionState.OPEN;
      case COMMIT, ROLLBACK -> TransactionState.IDLE;
      default -> state;
    };
  }

  /**
   * Returns whether no earlier answer without rows and signature reads the same. The opening's
   * ready message may also end a repetition that was cut off before its own.
   */
  private boolean remember(Matched answer) {
    boolean newOutcome = outcomes.add(answer.failure());
    boolean newAnswer = unsigned.add(new Unsigned(answer.failure(), answer.ready()));
    return newAnswer && (newOutcome || !opening.equals(Optional.of(answer.ready())));
  }

  private Result passOver() {
    repeated = true;
    return REPEATED;
  }
}
