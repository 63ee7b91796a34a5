package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.SortedMap;

/** What a statement reads from. */
interface View {
  /** The elements of a key's value; none if the key is absent. */
  List<String> elements(String key);

  /** The values of all keys that start with a prefix. */
  SortedMap<String, List<String>> scan(String prefix);
}
