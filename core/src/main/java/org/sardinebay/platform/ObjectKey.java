package org.sardinebay.platform;

/**
 * Identifies an object of the platform.
 *
 * @param kind the object's kind, such as {@code databases}
 * @param name the object's name, unique within the kind
 */
public record ObjectKey(String kind, String name) implements Comparable<ObjectKey> {
  @Override
  public int compareTo(ObjectKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
