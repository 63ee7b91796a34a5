package org.sardinebay.net.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Parses and formats JSON.
 *
 * <pre>{@code
 * Optional<JsonNode> tree = Json.parse(bytes);
 * }</pre>
 */
public final class Json {
  private static final Logger LOG = LoggerFactory.getLogger(Json.class);

  private static final JsonFactory STRICT =
      JsonFactory.builder().streamReadConstraints(JsonLimits.CONSTRAINTS).build();

  /** Accepts the marks of {@link JsonLimits}. */
  private static final JsonFactory WITH_MARKS =
      JsonFactory.builder()
          .streamReadConstraints(JsonLimits.CONSTRAINTS)
          .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
          .build();

  private static final JsonFactory WITH_COMMENTS =
      JsonFactory.builder()
          .streamReadConstraints(JsonLimits.CONSTRAINTS)
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
   * Parses strict JSON in which single values may be beyond the limits: nested too deeply, or with
   * too long a number or field name. A document that other programs write entries into can so be
   * read without those entries.
   *
   * @param bytes UTF-8 text
   * @return the tree, in which each value beyond the limits is missing ({@link #hasMissing}), or
   *     empty if the text is not JSON
   */
  public static Optional<JsonNode> parseWithinLimits(byte[] bytes) {
    try (JsonParser parser = STRICT.createParser(bytes)) {
      JsonNode tree = JsonTree.read(parser);
      return tree.isMissingNode() ? Optional.empty() : Optional.of(tree);
    } catch (StreamConstraintsException e) {
      LOG.atWarn().setMessage("json_value_left_out").addKeyValue("cause", e.getMessage()).log();
      return parseMarked(JsonLimits.markExcess(bytes));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static Optional<JsonNode> parseMarked(byte[] bytes) {
    try (JsonParser parser = WITH_MARKS.createParser(bytes)) {
      return Optional.of(JsonTree.read(parser));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether a value beyond the limits was left out of a tree. Its other fields don't say
   * what was meant, so an entry for which this is true has to be ignored as a whole.
   *
   * @param tree the tree or a part of it
   * @return true if a value in it is missing
   */
  public static boolean hasMissing(JsonNode tree) {
    if (tree.isMissingNode()) {
      return true;
    }
    for (JsonNode child : tree) {
      if (child.isMissingNode() || (child.isContainerNode() && hasMissing(child))) {
        return true;
      }
    }
    return false;
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
