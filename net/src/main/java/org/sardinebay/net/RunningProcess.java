package org.sardinebay.net;

import com.fasterxml.jackson.databind.JsonNode;

/** A program that runs, as its admin routes and the shutdown hook see it. */
public interface RunningProcess {
  /**
   * The process's state, for operators and developers.
   *
   * @return a tree with all that the process knows
   */
  JsonNode dump();

  /**
   * Whether new work is welcome.
   *
   * @return false while starting or shutting down
   */
  boolean ready();

  /** Shuts down gracefully: returns when the process may exit. */
  void shutdown();
}
