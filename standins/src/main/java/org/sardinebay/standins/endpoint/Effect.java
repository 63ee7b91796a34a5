package org.sardinebay.standins.endpoint;

/**
 * A change to one key of the state.
 *
 * @param key the key that changes
 * @param mode how the value changes
 * @param value the new value, or the appended element
 */
record Effect(String key, Mode mode, String value) {
  /** The way in which an effect changes a value. */
  enum Mode {
    /** Replaces the value. */
    SET,
    /** Appends an element to the list. */
    APPEND
  }
}
