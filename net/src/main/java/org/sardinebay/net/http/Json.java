package org.sardinebay.net.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
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
  /**
   * Deepest nesting that is read. The recursion of {@link JsonTree} must fit into the small stacks
   * that processes run with, whatever an endpoint sends.
   */
  private static final int MAX_NESTING = 100;

  private static final StreamReadConstraints CONSTRAINTS =
      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build();

  private static final JsonFactory STRICT =
      JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();

  private static final JsonFactory WITH_COMMENTS =
      JsonFactory.builder()
          .streamReadConstraints(CONSTRAINTS)
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
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Parses strict JSON.
   *
   * @param bytes UTF-8 text
   * @return the tree, or empty if the text is not JSON
   */
  public static Optional<JsonNode> parse(byte[] bytes) {
    try (JsonParser parser = STRICT.createParser(bytes)) {
      JsonNode tree = JsonTree.read(parser);
      return tree.isMissingNode() ? Optional.empty() : Optional.of(tree);
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
    try (JsonParser parser = WITH_COMMENTS.createParser(text)) {
      return JsonTree.read(parser);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      throw new IllegalStateException("reading a text in memory failed", e);
    }
  }

  /**
   * Formats a tree on one line.
   *
   * @param tree the tree
   * @return UTF-8 text
   */
  public static byte[] bytes(JsonNode tree) {
    try {
      return JsonTree.bytes(STRICT, tree);
    } catch (IOException e) {
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
