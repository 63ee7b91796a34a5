package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;

/** Answers progress calls, either immediately or after the next change (long polling). */
final class ProgressWaiters {
  private final MemberState state;
  private final Connections connections;
  private final Timers timers;
  private final Outbox outbox;
  private final List<Waiter> waiters = new ArrayList<>();

  ProgressWaiters(MemberState state, Connections connections, Timers timers, Outbox outbox) {
    this.state = state;
    this.connections = connections;
    this.timers = timers;
    this.outbox = outbox;
  }

  void progress(long now, long ticket, EndpointCall.Progress call) {
    boolean otherTerm = call.term() != 0 && call.term() != state.term();
    if (call.waitMillis() <= 0 || otherTerm) {
      outbox.answer(ticket, standing());
      return;
    }
    Waiter waiter = new Waiter(ticket, call.afterIndex(), state.term(), state.synced());
    waiters.add(waiter);
    timers.schedule(now + call.waitMillis(), at -> expire(waiter));
  }

  /** Answers the waiting calls if the received index, the term or the synced flag has changed. */
  void answerReady() {
    Iterator<Waiter> iterator = waiters.iterator();
    while (iterator.hasNext()) {
      Waiter waiter = iterator.next();
      if (hasChanged(waiter)) {
        outbox.answer(waiter.ticket, standing());
        iterator.remove();
      }
    }
  }

  EndpointReply.Standing standing() {
    return new EndpointReply.Standing(
        state.self(),
        state.term(),
        state.role(),
        state.primary(),
        state.log().last(),
        state.values().applied(),
        state.synced(),
        state.log().outline().termStarts(),
        connections.leaving(),
        connections.count());
  }

  private boolean hasChanged(Waiter waiter) {
    return state.log().last().index() > waiter.afterIndex
        || state.term() != waiter.term
        || state.synced() != waiter.synced;
  }

  private void expire(Waiter waiter) {
    if (waiters.remove(waiter)) {
      outbox.answer(waiter.ticket, standing());
    }
  }

  private record Waiter(long ticket, long afterIndex, long term, boolean synced) {}
}
