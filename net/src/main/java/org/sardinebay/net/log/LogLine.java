package org.sardinebay.net.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A log line of key=value pairs. Values with spaces or escapes are quoted.
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
  private static final Pattern KEY = Pattern.compile("([A-Za-z_][A-Za-z0-9_.]*)=");
  private static final char QUOTE = '"';
  private static final char ESCAPE = '\\';
  private static final char LAST_PRINTABLE = '~';
  private static final int HEX_DIGITS = 4;
  private static final int HEX_RADIX = 16;

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
    Matcher key = KEY.matcher(text);
    for (int at = start; key.find(at); ) {
      int from = key.end();
      int to = endOfValue(text, from);
      String value = text.substring(from, to);
      fields.putIfAbsent(key.group(1), isQuoted(value) ? unescape(value) : value);
      at = to;
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

  /** Returns the end of a quoted value, or of a word if there is no closing quote. */
  private static int endOfValue(String text, int from) {
    boolean quoted = from < text.length() && text.charAt(from) == QUOTE;
    for (int i = from + 1; quoted && i < text.length(); i++) {
      if (text.charAt(i) == ESCAPE) {
        i++;
      } else if (text.charAt(i) == QUOTE) {
        return i + 1;
      }
    }
    int to = from;
    while (to < text.length() && !Character.isWhitespace(text.charAt(to))) {
      to++;
    }
    return to;
  }

  private static boolean isQuoted(String value) {
    return value.length() > 1
        && value.charAt(0) == QUOTE
        && value.charAt(value.length() - 1) == QUOTE;
  }

  private static String unescape(String quoted) {
    StringBuilder value = new StringBuilder();
    int last = quoted.length() - 1;
    for (int i = 1; i < last; i++) {
      char c = quoted.charAt(i);
      if (c == ESCAPE && i + 1 < last) {
        i++;
        int code = quoted.charAt(i) == 'u' ? codeUnit(quoted, i + 1) : -1;
        i += code < 0 ? 0 : HEX_DIGITS;
        c = code < 0 ? unescape(quoted.charAt(i)) : (char) code;
      }
      value.append(c);
    }
    return value.toString();
  }

  private static char unescape(char letter) {
    return switch (letter) {
      case 'n' -> '\n';
      case 'r' -> '\r';
      case 't' -> '\t';
      default -> letter;
    };
  }

  /** Returns the code unit written as four hexadecimal digits, or -1 if there are none. */
  private static int codeUnit(String text, int from) {
    int code = 0;
    for (int i = from; i < from + HEX_DIGITS; i++) {
      int digit = i < text.length() ? Character.digit(text.charAt(i), HEX_RADIX) : -1;
      if (digit < 0) {
        return -1;
      }
      code = code * HEX_RADIX + digit;
    }
    return code;
  }

  /**
   * Appends one pair. The value is quoted and escaped if it could not be parsed back otherwise, so
   * that any text stays on one line of printable ASCII characters.
   *
   * @param line the line
   * @param key the key, a word
   * @param value the value
   */
  public static void append(StringBuilder line, String key, String value) {
    line.append(' ').append(key).append('=');
    boolean plain = !value.isEmpty();
    for (int i = 0; i < value.length() && plain; i++) {
      char c = value.charAt(i);
      plain = c > ' ' && c <= LAST_PRINTABLE && c != QUOTE && c != ESCAPE && c != '=';
    }
    if (plain) {
      line.append(value);
      return;
    }
    line.append(QUOTE);
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == QUOTE || c == ESCAPE) {
        line.append(ESCAPE).append(c);
      } else {
        appendPrintable(line, c);
      }
    }
    line.append(QUOTE);
  }

  /**
   * Returns a text with escapes in place of all characters that are not printable ASCII.
   *
   * @param text the text
   * @return the text on one line
   */
  public static String printable(String text) {
    StringBuilder result = new StringBuilder();
    for (int i = 0; i < text.length(); i++) {
      appendPrintable(result, text.charAt(i));
    }
    return result.toString();
  }

  private static void appendPrintable(StringBuilder line, char c) {
    if (c >= ' ' && c <= LAST_PRINTABLE) {
      line.append(c);
      return;
    }
    line.append(ESCAPE);
    switch (c) {
      case '\n' -> line.append('n');
      case '\r' -> line.append('r');
      case '\t' -> line.append('t');
      default -> {
        line.append('u');
        for (int shift = 12; shift >= 0; shift -= 4) {
          line.append(Character.forDigit((c >> shift) & 0xf, HEX_RADIX));
        }
      }
    }
  }
}
