package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Map;

/**
 * The contents of all lists on the primaries after the run.
 *
 * @param lists the values of each list, by database and key
 */
record FinalState(Map<ListName, List<String>> lists) {
  /**
   * Identifies a list.
   *
   * @param database the list's database
   * @param key the list's key
   */
  record ListName(String database, String key) {}

  List<String> list(String database, String key) {
    return lists.getOrDefault(new ListName(database, key), List.of());
  }

  long count(String database, String key, String value) {
    return list(database, key).stream().filter(value::equals).count();
  }
}
