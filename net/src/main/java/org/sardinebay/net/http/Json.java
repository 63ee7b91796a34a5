package org.sardinebay.net.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads and writes JSON trees.
 *
 * <pre>{@code
 * Optional<JsonNode> tree = Json.parse(bytes);
 * }</pre>
 */
public final class Json {
  private static final ObjectMapper STRICT = new ObjectMapper();
  private static final ObjectMapper WITH_COMMENTS =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private Json() {}

  /**
   * An empty object.
   *
   * @return a new object to fill
   */
  public static ObjectNode newObject() {
    return STRICT.createObjectNode();
  }

  /**
   * Reads strict JSON.
   *
   * @param bytes UTF-8 text
   * @return the tree, or empty if the text is not JSON
   */
  public static Optional<JsonNode> parse(byte[] bytes) {
    try {
      JsonNode tree = STRICT.readTree(bytes);
      return tree == null || tree.isMissingNode() ? Optional.empty() : Optional.of(tree);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Reads JSON with comments, as settings and record files are written.
   *
   * @param text the file's text
   * @return the tree
   * @throws JsonProcessingException with line and column, if the text is not JSON
   */
  public static JsonNode parseWithComments(String text) throws JsonProcessingException {
    return WITH_COMMENTS.readTree(text);
  }

  /**
   * Writes a tree on one line.
   *
   * @param tree the tree
   * @return UTF-8 text
   */
  public static byte[] bytes(JsonNode tree) {
    try {
      return STRICT.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree could not be written", e);
    }
  }

  /**
   * Writes a tree for people.
   *
   * @param tree the tree
   * @return indented text
   */
  public static String pretty(JsonNode tree) {
    return tree.toPrettyString();
  }
}
