package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A queue of statements that wait for a connection to a member, ordered by priority, then by
 * deadline, then by arrival.
 *
 * <pre>{@code
 * queue.add(item, priority, giveUpAt);
 * queue.dispatch(item -> dispatch(item));
 * List<T> expired = queue.expire(now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <T> the type of the queued items
 */
public final class StatementQueue<T> {
  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(e -> e.priority)
          .thenComparingLong(e -> e.giveUpAt)
          .thenComparingLong(e -> e.sequence);

  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private long nextSequence;

  /**
   * Adds an item.
   *
   * @param item the item
   * @param priority the priority; 0 is the highest
   * @param giveUpAt when the item expires, in milliseconds
   */
  public void add(T item, int priority, long giveUpAt) {
    entries.add(new Entry<>(item, priority, giveUpAt, nextSequence++));
  }

  /**
   * Offers the items in order and removes those that were dispatched.
   *
   * @param dispatch dispatches one item; returns false if the item has to stay queued
   */
  public void dispatch(Predicate<T> dispatch) {
    for (Entry<T> entry : new ArrayList<>(entries)) {
      if (entries.contains(entry) && dispatch.test(entry.item)) {
        entries.remove(entry);
      }
    }
  }

  /**
   * Removes the expired items.
   *
   * @param now the current time in milliseconds
   * @return the expired items
   */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    for (Entry<T> entry : entries) {
      if (entry.giveUpAt <= now) {
        expired.add(entry.item);
      }
    }
    entries.removeIf(entry -> entry.giveUpAt <= now);
    return expired;
  }

  /**
   * The number of queued items.
   *
   * @return the number
   */
  public int size() {
    return entries.size();
  }

  private record Entry<T>(T item, int priority, long giveUpAt, long sequence) {}
}
