package org.sardinebay.net.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a log: key=value pairs, values with spaces in quotes.
 *
 * <pre>{@code
 * Optional<LogLine> line = LogLine.parse(text);
 * String event = line.get().field("event");
 * }</pre>
 *
 * @param timeMillis when it was written, in Unix milliseconds
 * @param fields the pairs in their order, time left out
 */
public record LogLine(long timeMillis, Map<String, String> fields) {
  private static final Pattern PAIR =
      Pattern.compile("([A-Za-z_][A-Za-z0-9_.]*)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

  private static final String TIME = "time";

  /**
   * Reads a line. Words before its time, such as a host's name, are passed over.
   *
   * @param text the line
   * @return the line, empty if it has no time
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
   * The value of a field.
   *
   * @param name the field's name
   * @return its value, an empty text if it is absent
   */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /**
   * The event that the line is about.
   *
   * @return its name
   */
  public String event() {
    return field("event");
  }

  /** Appends one pair, the value in quotes where it could be misread. */
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
