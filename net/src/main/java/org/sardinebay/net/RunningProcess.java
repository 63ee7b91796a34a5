package org.sardinebay.net;

import com.fasterxml.jackson.databind.JsonNode;

/** A running program, as used by its admin routes and the shutdown hook. */
public interface RunningProcess {
  /**
   * Returns the process's state, for operators and developers.
   *
   * @return the complete state as JSON
   */
  JsonNode dump();

  /**
   * Returns whether the process accepts new requests.
   *
   * @return false while starting or shutting down
   */
  boolean ready();

  /** Shuts down gracefully. Returns when the process may exit. */
  void shutdown();
}
