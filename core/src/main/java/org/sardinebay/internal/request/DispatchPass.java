package org.sardinebay.internal.request;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * One pass over the waiting statements of a service. Skips those that no member can take, so that a
 * long queue costs little while there is no capacity. Covers a host that has just started and whose
 * queue grows while it has few connections: trying each statement at each member again whenever one
 * connection became idle would occupy the host more the longer the queue is.
 *
 * <pre>{@code
 * DispatchPass pass = new DispatchPass(this::freeCapacity);
 * queue.dispatch(request -> pass.test(request.primaryOnly(), () -> tryPlace(request)));
 * }</pre>
 */
public final class DispatchPass {
  private final Supplier<Capacity> capacity;
  private Capacity current;

  /**
   * Where a statement could be placed now.
   *
   * @param any whether any member has an idle connection or may get another one
   * @param primary whether the primary does
   */
  public record Capacity(boolean any, boolean primary) {}

  /**
   * Creates a pass.
   *
   * @param capacity determines the free capacity; called again after each attempt to place
   */
  public DispatchPass(Supplier<Capacity> capacity) {
    this.capacity = capacity;
    this.current = capacity.get();
  }

  /**
   * Tries to place a statement if there is capacity for it.
   *
   * @param primaryOnly whether only the primary can run it
   * @param tryPlace places it; returns whether it was placed
   * @return whether it was placed
   */
  public boolean test(boolean primaryOnly, BooleanSupplier tryPlace) {
    if (!(primaryOnly ? current.primary() : current.any())) {
      return false;
    }
    boolean placed = tryPlace.getAsBoolean();
    current = capacity.get();
    return placed;
  }
}
