package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.record.FieldReader;

/** Loses and swaps replies to executes. */
final class ReplyFaults {
  private static final long MAX_COUNT = 1_000_000;
  private static final String LOSE_REPLIES = "loseReplies";
  private static final String CROSS_REPLIES = "crossReplies";

  private final Consumer<PendingReply> abandon;
  private long lose;
  private long cross;
  private Optional<Delivery> held = Optional.empty();

  /**
   * Creates faults that do nothing yet.
   *
   * @param abandon told of each reply that is lost, or held until another one comes
   */
  ReplyFaults(Consumer<PendingReply> abandon) {
    this.abandon = abandon;
  }

  /**
   * A reply with where it goes.
   *
   * @param pending who waits
   * @param body the reply
   */
  record Delivery(PendingReply pending, ObjectNode body) {}

  /**
   * How many replies are still to be disturbed.
   *
   * @param lose how many are lost
   * @param cross how many pairs are swapped
   */
  record Counts(long lose, long cross) {}

  /** What is delivered now, when a reply is ready. */
  List<Delivery> pass(Delivery delivery, EndpointReply reply) {
    if (!delivery.pending().execute()) {
      return List.of(delivery);
    }
    if (lose > 0 && reply instanceof EndpointReply.Done) {
      lose--;
      abandon.accept(delivery.pending());
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
      abandon.accept(delivery.pending());
      return List.of();
    }
    return List.of(delivery);
  }

  /** Reads new counts; what is absent stays. Nothing changes before {@link #set}. */
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
