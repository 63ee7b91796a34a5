package org.sardinebay.ctl.internal.request;

import org.sardinebay.net.log.LogLine;

/** An output line of a leading word and key=value pairs, in the format of log lines. */
final class KeyValueLine {
  private final StringBuilder line;

  private KeyValueLine(String word) {
    line = new StringBuilder(word);
  }

  static KeyValueLine of(String word) {
    return new KeyValueLine(word);
  }

  KeyValueLine add(String key, Object value) {
    LogLine.append(line, key, value.toString());
    return this;
  }

  @Override
  public String toString() {
    return line.toString();
  }
}
