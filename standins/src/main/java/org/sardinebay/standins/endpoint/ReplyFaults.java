package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.record.FieldReader;

/** Simulates lost and swapped replies to execute calls. */
final class ReplyFaults {
  private static final long MAX_COUNT = 1_000_000;
  private static final String LOSE_REPLIES = "loseReplies";
  private static final String CROSS_REPLIES = "crossReplies";

  private final Consumer<PendingReply> onWithheld;
  private long lose;
  private long cross;
  private Optional<Delivery> held = Optional.empty();

  /**
   * Creates an instance with no active faults.
   *
   * @param onWithheld called for each reply that is lost, or held back until the next one
   */
  ReplyFaults(Consumer<PendingReply> onWithheld) {
    this.onWithheld = onWithheld;
  }

  /**
   * A reply and the call that it is delivered to.
   *
   * @param pending the call that waits for a reply
   * @param body the body of the reply
   */
  record Delivery(PendingReply pending, ObjectNode body) {}

  /**
   * The number of replies still to be affected.
   *
   * @param lose how many replies to lose
   * @param cross how many pairs of replies to swap
   */
  record Counts(long lose, long cross) {}

  /** Applies the faults to a reply and returns the replies to deliver now. */
  List<Delivery> apply(Delivery delivery, EndpointReply reply) {
    if (!delivery.pending().execute()) {
      return List.of(delivery);
    }
    if (lose > 0 && reply instanceof EndpointReply.Done) {
      lose--;
      onWithheld.accept(delivery.pending());
      return List.of();
    }
    if (held.isPresent()) {
      Delivery first = held.get();
      held = Optional.empty();
      return List.of(
          new Delivery(first.pending(), delivery.body()),
          new Delivery(delivery.pending(), first.body()));
    }
    if (cross > 0) {
      cross--;
      held = Optional.of(delivery);
      onWithheld.accept(delivery.pending());
      return List.of();
    }
    return List.of(delivery);
  }

  /** Reads new counts; absent fields keep their value. Takes effect only with {@link #set}. */
  Counts read(FieldReader reader) {
    return new Counts(
        reader.number(LOSE_REPLIES, 0, MAX_COUNT, lose),
        reader.number(CROSS_REPLIES, 0, MAX_COUNT, cross));
  }

  void set(Counts counts) {
    lose = counts.lose();
    cross = counts.cross();
  }

  void dump(ObjectNode tree) {
    tree.put(LOSE_REPLIES, lose).put(CROSS_REPLIES, cross);
  }
}
