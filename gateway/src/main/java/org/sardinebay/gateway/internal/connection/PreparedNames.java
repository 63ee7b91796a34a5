package org.sardinebay.gateway.internal.connection;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.session.PreparedShape;

/**
 * The names under which this process prepares statements at members: one for each shape, so that
 * all sessions share it.
 */
public final class PreparedNames {
  private final Map<PreparedShape, String> names = new HashMap<>();

  /**
   * The name for a shape.
   *
   * @param shape the shape
   * @return its name, the same for the life of the process
   */
  public String name(PreparedShape shape) {
    return names.computeIfAbsent(shape, any -> "p" + names.size());
  }
}
