package org.sardinebay.standins.driver;

/**
 * Builds the keys of lists and the values in them. A value contains the key of its list or the name
 * of its pair, so that a row in the wrong list can be detected.
 */
final class Keys {
  private static final String FIRST = ":first";
  private static final String SECOND = ":second";
  private static final String SEPARATOR = "#";

  private Keys() {}

  static String first(String pair) {
    return pair + FIRST;
  }

  static String second(String pair) {
    return pair + SECOND;
  }

  static String value(String base, String session, long number) {
    return base + SEPARATOR + session + SEPARATOR + number;
  }

  /** Returns whether a value was built for the list, or for the pair that the list belongs to. */
  static boolean belongs(String key, String value) {
    String base = key;
    if (key.endsWith(FIRST)) {
      base = key.substring(0, key.length() - FIRST.length());
    } else if (key.endsWith(SECOND)) {
      base = key.substring(0, key.length() - SECOND.length());
    }
    return value.startsWith(base + SEPARATOR);
  }
}
