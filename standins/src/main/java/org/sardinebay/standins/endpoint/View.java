package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.SortedMap;

/** The data that a statement reads: the applied state, or a transaction's view of it. */
interface View {
  /** Returns the elements of a key's value; empty if the key is absent. */
  List<String> elements(String key);

  /** Returns the values of all keys that start with a prefix. */
  SortedMap<String, List<String>> scan(String prefix);
}
