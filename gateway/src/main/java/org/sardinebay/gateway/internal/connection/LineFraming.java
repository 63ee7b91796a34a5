package org.sardinebay.gateway.internal.connection;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of bytes into lines, and encodes lines. A line ends with CR LF; a CR or LF
 * elsewhere belongs to the text, like any other byte. Each byte is one character (ISO-8859-1).
 *
 * <pre>{@code
 * framing.append(bytes, 0, count);
 * for (Optional<String> line = framing.next(); line.isPresent(); line = framing.next()) { ... }
 * }</pre>
 */
final class LineFraming {
  private static final String TERMINATOR = "\r\n";
  private static final int INITIAL_CAPACITY = 512;

  private final int maxLineBytes;
  private byte[] buffer = new byte[INITIAL_CAPACITY];

  /** The index of the first byte that belongs to no returned line. */
  private int start;

  /** The index up to which no terminator was found. */
  private int searched;

  private int end;
  private boolean tooLong;

  /**
   * Creates an instance without data.
   *
   * @param maxLineBytes the maximum length of a line, including the terminator
   */
  LineFraming(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Encodes lines with their terminators.
   *
   * @param lines the lines without terminators
   * @return the bytes, empty if the text of a line holds a terminator
   */
  static Optional<byte[]> encode(String... lines) {
    StringBuilder text = new StringBuilder();
    for (String line : lines) {
      if (line.contains(TERMINATOR)) {
        return Optional.empty();
      }
      text.append(line).append(TERMINATOR);
    }
    return Optional.of(text.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Appends received bytes. */
  void append(byte[] bytes, int offset, int count) {
    if (end + count > buffer.length) {
      makeRoom(count);
    }
    System.arraycopy(bytes, offset, buffer, end, count);
    end += count;
  }

  private void makeRoom(int count) {
    int kept = end - start;
    byte[] target =
        kept + count > buffer.length ? new byte[Math.max(buffer.length * 2, kept + count)] : buffer;
    System.arraycopy(buffer, start, target, 0, kept);
    buffer = target;
    searched -= start;
    start = 0;
    end = kept;
  }

  /**
   * Returns the next complete line, without its terminator; empty if more bytes are needed, or if
   * the line is too long.
   */
  Optional<String> next() {
    for (int i = searched; i < end && !tooLong; i++) {
      if (buffer[i] == '\n' && i > start && buffer[i - 1] == '\r') {
        searched = i + 1;
        tooLong = searched - start > maxLineBytes;
        return tooLong ? Optional.empty() : Optional.of(take(i - 1));
      }
    }
    searched = end;
    tooLong |= end - start >= maxLineBytes;
    if (start == end) {
      clear();
    }
    return Optional.empty();
  }

  private String take(int lineEnd) {
    String line = new String(buffer, start, lineEnd - start, StandardCharsets.ISO_8859_1);
    start = searched;
    return line;
  }

  /** Also releases the memory of a long line. */
  private void clear() {
    start = 0;
    searched = 0;
    end = 0;
    if (buffer.length > INITIAL_CAPACITY) {
      buffer = new byte[INITIAL_CAPACITY];
    }
  }

  /** Whether a line exceeds the maximum length; no further line is returned then. */
  boolean tooLong() {
    return tooLong;
  }

  /** Whether a part of a line has been received. */
  boolean hasPartialLine() {
    return end > start;
  }

  /** Returns the size of the buffer in bytes. */
  int capacity() {
    return buffer.length;
  }
}
