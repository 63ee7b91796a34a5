package org.sardinebay.standins.endpoint;

/**
 * One change of the state.
 *
 * @param key what it changes
 * @param mode how
 * @param value the new value, or the element appended
 */
record Effect(String key, Mode mode, String value) {
  /** How an effect changes a value. */
  enum Mode {
    /** Replaces the value. */
    SET,
    /** Adds an element to the list. */
    APPEND
  }
}
