package org.sardinebay.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
}
