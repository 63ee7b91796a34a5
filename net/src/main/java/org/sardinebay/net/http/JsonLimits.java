package org.sardinebay.net.http;

import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The limits on JSON text, and a copy of a text in which each value beyond them is replaced by a
 * mark. The copy takes memory in proportion to the text, however deeply it is nested.
 */
final class JsonLimits {
  /**
   * Deepest nesting that is read. The recursion of {@link JsonTree} must fit into the small stacks
   * that processes run with, whatever an endpoint sends.
   */
  private static final int MAX_NESTING = 100;

  /** Longest number that is read, in characters: converting takes the square of its length. */
  private static final int MAX_NUMBER_LENGTH = 1_000;

  /** Longest field name that is read, in bytes: the parser keeps the names it has seen. */
  private static final int MAX_NAME_LENGTH = 50_000;

  static final StreamReadConstraints CONSTRAINTS =
      StreamReadConstraints.builder()
          .maxNestingDepth(MAX_NESTING)
          .maxNumberLength(MAX_NUMBER_LENGTH)
          .maxNameLength(MAX_NAME_LENGTH)
          .build();

  /** Stands for a value that was left out; it is not valid in JSON. */
  private static final byte[] MARK = "NaN".getBytes(StandardCharsets.US_ASCII);

  /** Stands for a name that was left out, with a mark, and names the value that follows. */
  private static final byte[] MARKED_NAME = "\"\":NaN,\"-\"".getBytes(StandardCharsets.US_ASCII);

  private final byte[] text;
  private final ByteArrayOutputStream copy;

  private JsonLimits(byte[] text) {
    this.text = text;
    this.copy = new ByteArrayOutputStream(text.length);
  }

  /** Returns the text with a mark in place of each value, or each name, beyond the limits. */
  static byte[] markExcess(byte[] text) {
    JsonLimits limits = new JsonLimits(text);
    limits.copyAll();
    return limits.copy.toByteArray();
  }

  private void copyAll() {
    int depth = 0;
    int at = 0;
    while (at < text.length) {
      int end = at + 1;
      byte[] replacement = null;
      if (text[at] == '"') {
        end = endOfString(at);
        replacement = end - at > MAX_NAME_LENGTH && isName(end) ? MARKED_NAME : null;
      } else if (opens(text[at])) {
        if (depth == MAX_NESTING) {
          end = endOfContainer(at);
          replacement = MARK;
        } else {
          depth++;
        }
      } else if (closes(text[at])) {
        depth--;
      } else if (inNumber(text[at])) {
        end = endOfNumber(at);
        replacement = end - at > MAX_NUMBER_LENGTH ? MARK : null;
      }
      if (replacement == null) {
        copy.write(text, at, end - at);
      } else {
        copy.write(replacement, 0, replacement.length);
      }
      at = end;
    }
  }

  private static boolean opens(byte character) {
    return character == '{' || character == '[';
  }

  private static boolean closes(byte character) {
    return character == '}' || character == ']';
  }

  private static boolean inNumber(byte character) {
    return (character >= '0' && character <= '9')
        || character == '-'
        || character == '+'
        || character == '.'
        || character == 'e'
        || character == 'E';
  }

  private int endOfNumber(int start) {
    int at = start;
    while (at < text.length && inNumber(text[at])) {
      at++;
    }
    return at;
  }

  private int endOfString(int start) {
    int at = start + 1;
    while (at < text.length && text[at] != '"') {
      at += text[at] == '\\' ? 2 : 1;
    }
    return Math.min(at + 1, text.length);
  }

  private int endOfContainer(int start) {
    int depth = 0;
    int at = start;
    do {
      if (text[at] == '"') {
        at = endOfString(at);
        continue;
      }
      depth += opens(text[at]) ? 1 : 0;
      depth -= closes(text[at]) ? 1 : 0;
      at++;
    } while (depth > 0 && at < text.length);
    return at;
  }

  private boolean isName(int end) {
    int at = end;
    while (at < text.length && text[at] <= ' ') {
      at++;
    }
    return at < text.length && text[at] == ':';
  }
}
