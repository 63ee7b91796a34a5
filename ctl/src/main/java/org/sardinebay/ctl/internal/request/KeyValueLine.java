package org.sardinebay.ctl.internal.request;

/** An output line of a leading word and key=value pairs. Values with spaces are quoted. */
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
    boolean quoted = text.isEmpty() || text.indexOf(' ') >= 0;
    line.append(' ').append(key).append('=');
    line.append(quoted ? '"' + text.replace("\"", "'") + '"' : text);
    return this;
  }

  @Override
  public String toString() {
    return line.toString();
  }
}
