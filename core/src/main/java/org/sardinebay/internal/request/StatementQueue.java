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
 * queue.add(item, demand);
 * queue.dispatch(now, item -> dispatch(item));
 * List<T> expired = queue.expire(now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <T> the type of the queued items
 */
public final class StatementQueue<T> implements WaitingStatements<T> {
  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(e -> e.demand.priority())
          .thenComparingLong(e -> e.demand.giveUpAt())
          .thenComparingLong(e -> e.sequence);

  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private long nextSequence;

  @Override
  public void add(T item, StatementDemand demand) {
    entries.add(new Entry<>(item, demand, nextSequence++));
  }

  @Override
  public void remove(T item) {
    entries.removeIf(entry -> entry.item.equals(item));
  }

  @Override
  public void dispatch(long now, Predicate<T> place) {
    for (Entry<T> entry : new ArrayList<>(entries)) {
      if (entries.contains(entry) && place.test(entry.item)) {
        entries.remove(entry);
      }
    }
  }

  @Override
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    for (Entry<T> entry : entries) {
      if (entry.demand.giveUpAt() <= now) {
        expired.add(entry.item);
      }
    }
    entries.removeIf(entry -> entry.demand.giveUpAt() <= now);
    return expired;
  }

  @Override
  public List<Waiting<T>> inOrder(long now) {
    return entries.stream().map(entry -> new Waiting<>(entry.item, entry.demand)).toList();
  }

  @Override
  public int size() {
    return entries.size();
  }

  private record Entry<T>(T item, StatementDemand demand, long sequence) {}
}
