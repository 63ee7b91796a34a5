package org.sardinebay.standins.endpoint;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** The timers of a member. Timers with equal due times run in the order of their scheduling. */
final class Timers {
  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence);

  private final PriorityQueue<Timer> queue = new PriorityQueue<>(ORDER);
  private long sequence;

  /** Schedules an action. It receives the time at which it actually runs. */
  void schedule(long dueAt, LongConsumer action) {
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
