package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Statements that wait for a place at a member: the higher priority first, then the one whose time
 * is over first.
 *
 * <pre>{@code
 * line.add(item, priority, giveUpAt);
 * line.serve(item -> place(item));
 * List<T> late = line.expire(now);
 * }</pre>
 *
 * <p>Not thread-safe: its owner's loop guards it.
 *
 * @param <T> what waits
 */
public final class WaitingLine<T> {
  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(e -> e.priority)
          .thenComparingLong(e -> e.giveUpAt)
          .thenComparingLong(e -> e.number);

  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private long numbers;

  /**
   * Adds an item.
   *
   * @param item the item
   * @param priority 0 is served first
   * @param giveUpAt when it is of no use any more
   */
  public void add(T item, int priority, long giveUpAt) {
    entries.add(new Entry<>(item, priority, giveUpAt, numbers++));
  }

  /**
   * Offers the items in order, and removes those that were placed.
   *
   * @param place places one item; false if it has to wait on
   */
  public void serve(Predicate<T> place) {
    for (Entry<T> entry : new ArrayList<>(entries)) {
      if (entries.contains(entry) && place.test(entry.item)) {
        entries.remove(entry);
      }
    }
  }

  /**
   * Removes the items whose time is over.
   *
   * @param now the time
   * @return these items
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
   * How many items wait.
   *
   * @return the number
   */
  public int size() {
    return entries.size();
  }

  private record Entry<T>(T item, int priority, long giveUpAt, long number) {}
}
