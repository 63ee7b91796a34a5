package org.sardinebay.internal.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.CallerId;

/**
 * A bounded queue that serves callers round-robin, so that a caller with many requests delays only
 * its own.
 *
 * <pre>{@code
 * Optional<T> displaced = queue.offer(caller, item, deadlineAt);
 * Optional<T> next = queue.poll();
 * List<T> expired = queue.expire(now);
 * }</pre>
 *
 * <p>Not thread-safe: guarded by the lock of the object that owns the queue.
 *
 * @param <T> the type of the queued items
 */
public final class FairQueue<T> {
  private final int capacity;
  private final Map<CallerId, Deque<Entry<T>>> byCaller = new LinkedHashMap<>();
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of items
   */
  public FairQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds an item. If the queue is full, the last item of the caller with the most items is removed.
   *
   * @param caller the caller that owns the item
   * @param item the item
   * @param deadlineAt when the item expires, in milliseconds
   * @return the item that was displaced (possibly the new one), empty if the queue had a free slot
   */
  public Optional<T> offer(CallerId caller, T item, long deadlineAt) {
    byCaller
        .computeIfAbsent(caller, absent -> new ArrayDeque<>())
        .addLast(new Entry<>(item, deadlineAt));
    size++;
    return size > capacity ? Optional.of(removeLastOfLongestQueue()) : Optional.empty();
  }

  /**
   * Removes the next item, taking callers round-robin.
   *
   * @return the item, empty if the queue is empty
   */
  public Optional<T> poll() {
    Iterator<Map.Entry<CallerId, Deque<Entry<T>>>> callers = byCaller.entrySet().iterator();
    if (!callers.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<CallerId, Deque<Entry<T>>> first = callers.next();
    callers.remove();
    Entry<T> entry = first.getValue().pollFirst();
    if (!first.getValue().isEmpty()) {
      byCaller.put(first.getKey(), first.getValue());
    }
    size--;
    return Optional.of(entry.item);
  }

  /**
   * Removes the expired items.
   *
   * @param now the current time in milliseconds
   * @return the expired items
   */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    for (Deque<Entry<T>> entries : byCaller.values()) {
      Iterator<Entry<T>> iterator = entries.iterator();
      while (iterator.hasNext()) {
        Entry<T> entry = iterator.next();
        if (entry.deadlineAt <= now) {
          iterator.remove();
          expired.add(entry.item);
        }
      }
    }
    byCaller.values().removeIf(Deque::isEmpty);
    size -= expired.size();
    return expired;
  }

  /**
   * The number of queued items.
   *
   * @return the number
   */
  public int size() {
    return size;
  }

  private T removeLastOfLongestQueue() {
    Map.Entry<CallerId, Deque<Entry<T>>> longest =
        byCaller.entrySet().stream()
            .max(Comparator.comparingInt(entry -> entry.getValue().size()))
            .orElseThrow();
    Entry<T> removed = longest.getValue().pollLast();
    if (longest.getValue().isEmpty()) {
      byCaller.remove(longest.getKey());
    }
    size--;
    return removed.item;
  }

  private record Entry<T>(T item, long deadlineAt) {}
}
