package org.sardinebay.ctl.internal.request;

/**
 * An output line of a leading word and key=value pairs. Values with spaces are quoted, and control
 * characters in them are escaped.
 */
final class KeyValueLine {
  private final StringBuilder line;

  private KeyValueLine(String word) {
    line = new StringBuilder(word);
  }

  static KeyValueLine of(String word) {
    return new KeyValueLine(word);
  }

  KeyValueLine add(String key, Object value) {
    String text = value.toString();
    boolean quoted = text.isEmpty() || text.chars().anyMatch(c -> c <= ' ');
    line.append(' ').append(key).append('=');
    line.append(quoted ? '"' + escape(text.replace("\"", "'")) + '"' : text);
    return this;
  }

  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder(text.length());
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      escaped.append(c < ' ' ? String.format("\\u%04x", (int) c) : String.valueOf(c));
    }
    return escaped.toString();
  }

  @Override
  public String toString() {
    return line.toString();
  }
}
