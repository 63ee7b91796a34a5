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
  private final int maxEntries;
  private final List<Waiter> waiters = new ArrayList<>();

  PrimaryFeed(MemberState state, Timers timers, Outbox outbox, int maxEntries) {
    this.state = state;
    this.timers = timers;
    this.outbox = outbox;
    this.maxEntries = maxEntries;
  }

  void pull(long now, long ticket, PullRequest request) {
    Waiter waiter = new Waiter(ticket, request);
    waiters.add(waiter);
    timers.schedule(now + request.waitMillis(), at -> expire(waiter));
  }

  /**
   * Answers the requests that need not wait: there are entries to send, or the request can't be
   * met.
   */
  void answerReady() {
    Iterator<Waiter> iterator = waiters.iterator();
    while (iterator.hasNext()) {
      Waiter waiter = iterator.next();
      Optional<PullReply> reply = reply(waiter.request);
      if (reply.isPresent()) {
        outbox.answerPull(waiter.ticket, reply.get());
        iterator.remove();
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
    List<LogEntry> entries = state.log().after(request.after().index(), maxEntries);
    return entries.isEmpty() ? Optional.empty() : Optional.of(new PullReply.Entries(entries));
  }

  private record Waiter(long ticket, PullRequest request) {}
}
