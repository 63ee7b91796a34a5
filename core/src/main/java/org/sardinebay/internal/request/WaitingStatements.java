package org.sardinebay.internal.request;

import java.util.List;
import java.util.function.Predicate;

/**
 * The statements of a service that wait for a connection to a member, in the order in which they
 * are placed.
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <T> the type of the statements
 */
public interface WaitingStatements<T> {
  /**
   * A statement that waits.
   *
   * @param item the statement
   * @param demand what it asks for
   * @param <T> the type of the statements
   */
  record Waiting<T>(T item, StatementDemand demand) {}

  /**
   * Adds a statement.
   *
   * @param item the statement
   * @param demand what it asks for
   */
  void add(T item, StatementDemand demand);

  /**
   * Removes a statement that will not be placed.
   *
   * @param item the statement
   */
  void remove(T item);

  /**
   * Offers the statements in order and removes those that were placed.
   *
   * @param now the current time in milliseconds
   * @param place places one statement; returns false if it has to wait longer
   */
  void dispatch(long now, Predicate<T> place);

  /**
   * Removes the statements whose latest time has come.
   *
   * @param now the current time in milliseconds
   * @return the removed statements
   */
  List<T> expire(long now);

  /**
   * Returns the waiting statements.
   *
   * @param now the current time in milliseconds
   * @return the statements in the order in which they would be placed now
   */
  List<Waiting<T>> inOrder(long now);

  /**
   * Returns the number of waiting statements.
   *
   * @return the number
   */
  int size();
}
