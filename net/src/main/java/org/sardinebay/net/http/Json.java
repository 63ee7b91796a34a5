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
 * Parses and formats JSON.
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
   * Creates an empty JSON object.
   *
   * @return the new object
   */
  public static ObjectNode newObject() {
    return STRICT.createObjectNode();
  }

  /**
   * Parses strict JSON.
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
   * Parses JSON with comments and trailing commas, the format of settings and record files.
   *
   * @param text the file's text
   * @return the tree
   * @throws JsonProcessingException with line and column, if the text is not JSON
   */
  public static JsonNode parseWithComments(String text) throws JsonProcessingException {
    return WITH_COMMENTS.readTree(text);
  }

  /**
   * Formats a tree on one line.
   *
   * @param tree the tree
   * @return UTF-8 text
   */
  public static byte[] bytes(JsonNode tree) {
    try {
      return STRICT.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("JSON serialization failed", e);
    }
  }

  /**
   * Formats a tree with line breaks and indentation.
   *
   * @param tree the tree
   * @return indented text
   */
  public static String pretty(JsonNode tree) {
    return tree.toPrettyString();
  }
}
