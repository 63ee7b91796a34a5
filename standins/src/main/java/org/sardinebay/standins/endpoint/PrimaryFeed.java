package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** Answers the replicas' requests for log entries of the primary. */
final class PrimaryFeed {
  private final MemberState state;
  private final Timers timers;
  private final Outbox outbox;
  private final int batch;
  private final List<Waiter> waiters = new ArrayList<>();

  PrimaryFeed(MemberState state, Timers timers, Outbox outbox, int batch) {
    this.state = state;
    this.timers = timers;
    this.outbox = outbox;
    this.batch = batch;
  }

  void pull(long now, long ticket, PullRequest request) {
    Waiter waiter = new Waiter(ticket, request);
    waiters.add(waiter);
    timers.schedule(now + request.waitMillis(), at -> expire(waiter));
  }

  /** Answers the requests for which there are entries or an error. */
  void answerReady() {
    Iterator<Waiter> each = waiters.iterator();
    while (each.hasNext()) {
      Waiter waiter = each.next();
      Optional<PullReply> reply = reply(waiter.request);
      if (reply.isPresent()) {
        outbox.answerPull(waiter.ticket, reply.get());
        each.remove();
      }
    }
  }

  private void expire(Waiter waiter) {
    if (waiters.remove(waiter)) {
      outbox.answerPull(
          waiter.ticket, reply(waiter.request).orElseGet(() -> new PullReply.Entries(List.of())));
    }
  }

  private Optional<PullReply> reply(PullRequest request) {
    boolean forSelf = request.primary().equals(state.self());
    if (!forSelf || state.refusalInTerm(request.term()).isPresent()) {
      return Optional.of(new PullReply.Declined());
    }
    if (!state.log().contains(request.after())) {
      return Optional.of(new PullReply.Diverged(state.log().outline()));
    }
    List<LogEntry> entries = state.log().after(request.after().index(), batch);
    return entries.isEmpty() ? Optional.empty() : Optional.of(new PullReply.Entries(entries));
  }

  private record Waiter(long ticket, PullRequest request) {}
}
