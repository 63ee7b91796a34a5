package org.sardinebay.net.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A log line of key=value pairs. Values with spaces are quoted.
 *
 * <pre>{@code
 * Optional<LogLine> line = LogLine.parse(text);
 * String event = line.get().field("event");
 * }</pre>
 *
 * @param timeMillis the time of the event, in Unix milliseconds
 * @param fields the pairs in order, without the time
 */
public record LogLine(long timeMillis, Map<String, String> fields) {
  private static final Pattern PAIR =
      Pattern.compile("([A-Za-z_][A-Za-z0-9_.]*)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

  private static final String TIME = "time";

  /**
   * Parses a line. Text before its time field, such as a host name, is ignored.
   *
   * @param text the line
   * @return the line, or empty if it has no valid time
   */
  public static Optional<LogLine> parse(String text) {
    int start = text.indexOf(TIME + "=");
    if (start < 0) {
      return Optional.empty();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher pairs = PAIR.matcher(text);
    pairs.region(start, text.length());
    while (pairs.find()) {
      String quoted = pairs.group(2);
      String value =
          quoted == null ? pairs.group(3) : quoted.replace("\\\"", "\"").replace("\\\\", "\\");
      fields.putIfAbsent(pairs.group(1), value);
    }
    try {
      return Optional.of(new LogLine(Instant.parse(fields.remove(TIME)).toEpochMilli(), fields));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the value of a field.
   *
   * @param name the field's name
   * @return its value, or an empty string if it is absent
   */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /**
   * Returns the name of the logged event.
   *
   * @return the event name, or an empty string if it is absent
   */
  public String event() {
    return field("event");
  }

  /** Appends one pair. The value is quoted if it could not be parsed back otherwise. */
  static void append(StringBuilder line, String key, String value) {
    line.append(' ').append(key).append('=');
    boolean plain = !value.isEmpty();
    for (int i = 0; i < value.length() && plain; i++) {
      char c = value.charAt(i);
      plain = c > ' ' && c != '"' && c != '\\' && c != '=';
    }
    if (plain) {
      line.append(value);
      return;
    }
    line.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\');
      }
      line.append(c < ' ' ? ' ' : c);
    }
    line.append('"');
  }
}
