package org.sardinebay.gateway.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a line feed in a text that ends the line and turns the rest into a message. */
class LineFramingTest {
  private static final int MAX_LINE_BYTES = 4_096;

  private static final List<String> FRAGMENTS =
      List.of(
          "",
          " ",
          "\n",
          "\r",
          "\r\r",
          "\n\r",
          "\0",
          "\u0085",
          "\u00ff",
          "QUERY 1 WRITE a b",
          "\nQUERY 2 WRITE c d",
          "ROW a",
          "\nDONE s\nREADY I 1.2",
          "\rERR FAILED x\r",
          "\nBYE\n");

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static List<String> take(LineFraming framing) {
    List<String> lines = new ArrayList<>();
    for (Optional<String> line = framing.next(); line.isPresent(); line = framing.next()) {
      lines.add(line.get());
    }
    return lines;
  }

  private static List<String> append(LineFraming framing, String text) {
    framing.append(bytes(text), 0, text.length());
    return take(framing);
  }

  /** Appends the bytes in parts of the given sizes, repeated, and takes the lines after each. */
  private static List<String> appendSplit(LineFraming framing, byte[] bytes, List<Integer> sizes) {
    List<String> lines = new ArrayList<>();
    int offset = 0;
    for (int part = 0; offset < bytes.length; part++) {
      int count = Math.min(sizes.get(part % sizes.size()), bytes.length - offset);
      framing.append(bytes, offset, count);
      offset += count;
      lines.addAll(take(framing));
    }
    return lines;
  }

  /** Texts without CR LF: arbitrary bytes, and line ends next to the words of other messages. */
  @Provide
  Arbitrary<String> texts() {
    Arbitrary<String> any = Arbitraries.strings().withCharRange('\0', '\u00ff').ofMaxLength(50);
    return Arbitraries.frequencyOf(Tuple.of(4, Arbitraries.of(FRAGMENTS)), Tuple.of(1, any))
        .list()
        .ofMaxSize(8)
        .map(parts -> String.join("", parts).replaceAll("\r\n+", "\r"));
  }

  @Nested
  class Lines {
    @Test
    void should_end_with_cr_lf_alone() {
      LineFraming framing = new LineFraming(MAX_LINE_BYTES);

      assertThat(append(framing, "a\nb\rc\r\r\n\n\r\n\r\n")).containsExactly("a\nb\rc\r", "\n", "");
      assertThat(framing.hasPartialLine()).isFalse();
    }

    @Test
    void should_not_end_with_a_line_feed_after_the_terminator_of_another_line() {
      LineFraming framing = new LineFraming(MAX_LINE_BYTES);

      assertThat(append(framing, "a\r\n\n")).containsExactly("a");
      assertThat(framing.hasPartialLine()).isTrue();
      assertThat(append(framing, "b\r")).isEmpty();
      assertThat(append(framing, "\n")).containsExactly("\nb");
    }

    @Test
    void should_be_returned_as_soon_as_they_are_complete() {
      LineFraming framing = new LineFraming(MAX_LINE_BYTES);

      assertThat(append(framing, "a\r\nb\r")).containsExactly("a");
      assertThat(framing.hasPartialLine()).isTrue();
      assertThat(append(framing, "\nc")).containsExactly("b");
    }

    @Test
    void should_not_be_encoded_if_the_text_holds_a_terminator() {
      assertThat(LineFraming.encode("a", "b\r\nc")).isEmpty();
      assertThat(LineFraming.encode("a", "b\r\n")).isEmpty();
      assertThat(LineFraming.encode("a\r", "\nb").map(String::new)).contains("a\r\r\n\nb\r\n");
    }
  }

  @Property
  void should_return_the_encoded_texts_for_any_split_of_their_bytes(
      @ForAll @Size(max = 20) List<@From("texts") String> texts,
      @ForAll @Size(min = 1, max = 10) List<@IntRange(min = 1, max = 600) Integer> sizes) {
    LineFraming framing = new LineFraming(MAX_LINE_BYTES);
    byte[] bytes = LineFraming.encode(texts.toArray(String[]::new)).orElseThrow();

    assertThat(appendSplit(framing, bytes, sizes)).isEqualTo(texts);
    assertThat(framing.hasPartialLine()).isFalse();
    assertThat(framing.tooLong()).isFalse();
  }

  @Property
  void should_return_the_same_lines_for_any_split(
      @ForAll @Chars({'\r', '\n', 'a'}) @StringLength(max = 100) String text,
      @ForAll @Size(min = 1, max = 10) List<@IntRange(min = 1, max = 9) Integer> sizes) {
    LineFraming whole = new LineFraming(MAX_LINE_BYTES);
    LineFraming split = new LineFraming(MAX_LINE_BYTES);

    assertThat(appendSplit(split, bytes(text), sizes)).isEqualTo(append(whole, text));
    assertThat(split.hasPartialLine()).isEqualTo(whole.hasPartialLine());
  }

  @Property
  void should_limit_a_line_with_its_terminator_for_any_split(
      @ForAll @IntRange(min = 60, max = 70) int length,
      @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 80) Integer> sizes) {
    LineFraming framing = new LineFraming(64 + 2);
    String text = "\n".repeat(length);

    List<String> lines = appendSplit(framing, bytes("a\r\n" + text + "\r\nb\r\n"), sizes);

    if (length <= 64) {
      assertThat(lines).containsExactly("a", text, "b");
    } else {
      assertThat(lines).containsExactly("a");
    }
    assertThat(framing.tooLong()).isEqualTo(length > 64);
  }

  @Nested
  class MaximumLength {
    @Test
    void should_be_enforced_before_the_line_ends() {
      LineFraming framing = new LineFraming(10);

      assertThat(append(framing, "a\n".repeat(4) + "\r")).isEmpty();
      assertThat(framing.tooLong()).isFalse();
      assertThat(append(framing, "a")).isEmpty();
      assertThat(framing.tooLong()).isTrue();
    }
  }

  @Nested
  class LongLines {
    private static final int LENGTH = 1 << 20;

    /** With a search from the start of the line on each read, this takes hours. */
    @Test
    @Timeout(60)
    void should_be_received_byte_by_byte_in_linear_time() {
      LineFraming framing = new LineFraming(MemberConnection.MAX_LINE_BYTES);
      byte[] text = bytes("\n".repeat(LENGTH));
      boolean returned = false;
      for (int i = 0; i < LENGTH; i++) {
        framing.append(text, i, 1);
        returned |= framing.next().isPresent();
      }

      assertThat(returned).isFalse();
      assertThat(append(framing, "\r\n")).allMatch(line -> line.length() == LENGTH).hasSize(1);
    }

    @Test
    void should_not_occupy_memory_once_they_are_taken() {
      LineFraming framing = new LineFraming(MemberConnection.MAX_LINE_BYTES);
      int before = framing.capacity();

      assertThat(append(framing, "x".repeat(LENGTH))).isEmpty();
      assertThat(framing.capacity()).isGreaterThanOrEqualTo(LENGTH);
      assertThat(append(framing, "\r\n")).hasSize(1);

      assertThat(framing.capacity()).isEqualTo(before);
    }
  }
}
