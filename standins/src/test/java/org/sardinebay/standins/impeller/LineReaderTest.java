package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LineReaderTest {
  private static List<String> lines(String bytes) throws IOException {
    LineReader reader =
        new LineReader(new ByteArrayInputStream(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    List<String> lines = new ArrayList<>();
    for (Optional<String> line = reader.next(); line.isPresent(); line = reader.next()) {
      lines.add(line.get());
    }
    return lines;
  }

  @Test
  void should_keep_line_feeds_and_carriage_returns_that_stand_alone() throws Exception {
    assertThat(lines("a\nb\rc\n\rd\r\n\r\r\n\n\r\n\r\n"))
        .containsExactly("a\nb\rc\n\rd", "\r", "\n", "");
  }

  @Test
  void should_keep_every_byte() throws Exception {
    StringBuilder all = new StringBuilder();
    for (char c = 0; c < 256; c++) {
      all.append(c);
    }

    assertThat(lines(all + "\r\n")).containsExactly(all.toString());
  }

  @Test
  void should_not_return_a_line_without_an_end() throws Exception {
    assertThat(lines("a\r\nREADY I 1.2\r")).containsExactly("a");
  }
}
