package org.sardinebay.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against trees that differ from Jackson's own, and against input that ends a thread. */
class JsonTest {
  private static Optional<JsonNode> parse(String text) {
    return Json.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Nested
  class Trees {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "{\"a\":[1,2147483648,9223372036854775808,-0.5,1e30],\"b\":{\"c\":null}}",
          "[true,false,\"\",\"\\u20ac \\\"quoted\\\"\",{},[]]",
          "{\"twice\":1,\"twice\":2}",
          "7",
          "1 trailing"
        })
    void should_be_those_of_the_object_mapper(String text) throws JsonProcessingException {
      ObjectMapper mapper = new ObjectMapper();
      JsonNode expected = mapper.readTree(text);

      assertEquals(expected, parse(text).orElseThrow());
      assertEquals(
          mapper.writeValueAsString(expected),
          new String(Json.bytes(expected), StandardCharsets.UTF_8));
    }

    @Test
    void should_be_read_from_settings_with_comments() throws JsonProcessingException {
      assertEquals(1, Json.parseWithComments("{/* a */ \"a\": 1, // b\n}").path("a").asInt());
    }
  }

  @Nested
  class InvalidText {
    @ParameterizedTest
    @ValueSource(strings = {"", " ", "{", "{\"a\"}", "[1,", "]", "nope", "{\"a\":}"})
    void should_have_no_tree(String text) {
      assertTrue(parse(text).isEmpty());
    }

    @Test
    void should_not_overflow_the_stack() {
      assertTrue(parse("[".repeat(100_000)).isEmpty());
    }

    @Test
    void should_name_its_place_in_settings() {
      JsonProcessingException failure =
          assertThrows(
              JsonProcessingException.class, () -> Json.parseWithComments("{\n  \"a\" 1}"));

      assertEquals(2, failure.getLocation().getLineNr());
    }
  }

  /**
   * Guards against a listing that is dropped as a whole because one of its entries is nested too
   * deeply, or has too long a number or name: the process then stopped to follow all others.
   */
  @Nested
  class ValuesBeyondTheLimits {
    private JsonNode read(String value) {
      String text = "[{\"a\":1,\"b\":\"[\\\"{\"},{\"odd\":" + value + "},{\"c\":[2.5,{}]}]";
      return Json.parseWithinLimits(text.getBytes(StandardCharsets.UTF_8)).orElseThrow();
    }

    private void assertOnlySecondIsLeftOut(JsonNode list) {
      assertEquals(3, list.size());
      assertEquals("{\"a\":1,\"b\":\"[\\\"{\"}", list.get(0).toString());
      assertEquals("{\"c\":[2.5,{}]}", list.get(2).toString());
      assertFalse(Json.hasMissing(list.get(0)));
      assertTrue(Json.hasMissing(list.get(1)));
      assertFalse(Json.hasMissing(list.get(2)));
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 5_000, 400_000})
    void should_be_left_out_if_nested_too_deeply(int depth) {
      assertOnlySecondIsLeftOut(read("[".repeat(depth) + "\"]\"" + "]".repeat(depth)));
      assertOnlySecondIsLeftOut(read("{\"}\":".repeat(depth) + "1" + "}".repeat(depth)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-", "1.", "1e"})
    void should_be_left_out_if_a_number_is_too_long(String start) {
      assertOnlySecondIsLeftOut(read(start + "1".repeat(1_500)));
    }

    @Test
    void should_be_left_out_if_a_field_name_is_too_long() {
      assertOnlySecondIsLeftOut(read("{\"" + "n".repeat(60_000) + "\" : {\"d\":[3]}}"));
    }

    @Test
    void should_not_be_text_that_is_long() {
      assertFalse(Json.hasMissing(read("\"" + "t".repeat(60_000) + "\"")));
    }

    @Test
    void should_not_be_read_from_a_text_that_does_not_end() {
      byte[] text = "[".repeat(100_000).getBytes(StandardCharsets.UTF_8);
      assertTrue(Json.parseWithinLimits(text).isEmpty());
    }
  }
}
