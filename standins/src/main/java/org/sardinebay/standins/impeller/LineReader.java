package org.sardinebay.standins.impeller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads lines that end with CR LF. A carriage return or a line feed alone is part of its line. Each
 * byte is mapped to one character (ISO-8859-1).
 */
final class LineReader {
  private final InputStream in;

  LineReader(InputStream in) {
    this.in = new BufferedInputStream(in);
  }

  /**
   * Returns the next line without its terminator; empty at the end of the stream, even after a part
   * of a line.
   */
  Optional<String> next() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = -1;
    for (int current = in.read(); current != -1; current = in.read()) {
      if (previous == '\r' && current == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return Optional.of(text.substring(0, text.length() - 1));
      }
      line.write(current);
      previous = current;
    }
    return Optional.empty();
  }
}
