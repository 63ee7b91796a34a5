package org.sardinebay.standins.endpoint;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** What a member has to do later, in the order of the times and of the calls. */
final class Timers {
  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence);

  private final PriorityQueue<Timer> queue = new PriorityQueue<>(ORDER);
  private long sequence;

  /** Plans an action; it is told the time at which it really runs. */
  void at(long dueAt, LongConsumer action) {
    queue.add(new Timer(dueAt, sequence++, action));
  }

  void runDue(long now) {
    while (!queue.isEmpty() && queue.peek().dueAt <= now) {
      queue.remove().action.accept(now);
    }
  }

  OptionalLong nextDueAt() {
    return queue.isEmpty() ? OptionalLong.empty() : OptionalLong.of(queue.peek().dueAt);
  }

  private record Timer(long dueAt, long sequence, LongConsumer action) {}
}
