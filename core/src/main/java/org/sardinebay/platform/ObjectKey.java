package org.sardinebay.platform;

/**
 * Names one object of the platform.
 *
 * @param kind its kind, such as {@code databases}
 * @param name its name, unique within the kind
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
