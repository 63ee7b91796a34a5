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
 * A bounded queue that serves callers in turn, so that a greedy caller waits behind its own
 * requests only.
 *
 * <pre>{@code
 * Optional<T> displaced = queue.offer(caller, item, deadlineAt);
 * Optional<T> next = queue.poll();
 * List<T> late = queue.expire(now);
 * }</pre>
 *
 * <p>Not thread-safe: its owner's lock guards it.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
  private final int capacity;
  private final Map<CallerId, Deque<Entry<T>>> byCaller = new LinkedHashMap<>();
  private int size;

  /**
   * An empty queue.
   *
   * @param capacity how many items it holds at most
   */
  public FairQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds an item. If the queue is full, the caller with the most items gives up its last one.
   *
   * @param caller whose item it is
   * @param item the item
   * @param deadlineAt when it is of no use any more
   * @return the item that found no place: another one, this one, or none
   */
  public Optional<T> offer(CallerId caller, T item, long deadlineAt) {
    byCaller
        .computeIfAbsent(caller, any -> new ArrayDeque<>())
        .addLast(new Entry<>(item, deadlineAt));
    size++;
    return size > capacity ? Optional.of(removeLastOfGreediest()) : Optional.empty();
  }

  /**
   * Takes the next item, the callers in turn.
   *
   * @return the item, empty if none waits
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
   * Removes the items whose deadline passed.
   *
   * @param now the time
   * @return these items
   */
  public List<T> expire(long now) {
    List<T> late = new ArrayList<>();
    for (Deque<Entry<T>> entries : byCaller.values()) {
      Iterator<Entry<T>> iterator = entries.iterator();
      while (iterator.hasNext()) {
        Entry<T> entry = iterator.next();
        if (entry.deadlineAt <= now) {
          iterator.remove();
          late.add(entry.item);
        }
      }
    }
    byCaller.values().removeIf(Deque::isEmpty);
    size -= late.size();
    return late;
  }

  /**
   * How many items wait.
   *
   * @return the number
   */
  public int size() {
    return size;
  }

  private T removeLastOfGreediest() {
    Map.Entry<CallerId, Deque<Entry<T>>> greediest =
        byCaller.entrySet().stream()
            .max(Comparator.comparingInt(entry -> entry.getValue().size()))
            .orElseThrow();
    Entry<T> removed = greediest.getValue().pollLast();
    if (greediest.getValue().isEmpty()) {
      byCaller.remove(greediest.getKey());
    }
    size--;
    return removed.item;
  }

  private record Entry<T>(T item, long deadlineAt) {}
}
