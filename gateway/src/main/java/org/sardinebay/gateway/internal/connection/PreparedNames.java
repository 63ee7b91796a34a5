package org.sardinebay.gateway.internal.connection;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.session.PreparedShape;

/**
 * The names under which this process prepares statements on members. Each shape has one name, which
 * all sessions share.
 */
public final class PreparedNames {
  private final Map<PreparedShape, String> names = new HashMap<>();

  /**
   * Returns the name for a shape.
   *
   * @param shape the shape
   * @return the name, constant for the lifetime of the process
   */
  public String name(PreparedShape shape) {
    return names.computeIfAbsent(shape, any -> "p" + names.size());
  }
}
