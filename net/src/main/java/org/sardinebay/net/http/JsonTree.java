package org.sardinebay.net.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes trees by Jackson's streaming parser and generator. Jackson's object mapper would
 * do the same, but it loads some 300 classes and the locale data, which costs a starting process a
 * tenth of its processor time.
 */
final class JsonTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads the first value of a document.
   *
   * @param parser the parser; not closed here
   * @return the tree; missing if the document is empty; a NaN, if the parser accepts it, is missing
   * @throws IOException if the text is not JSON
   */
  static JsonNode read(JsonParser parser) throws IOException {
    JsonToken first = parser.nextToken();
    return first == null ? MissingNode.getInstance() : value(parser, first);
  }

  private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT ->
          parser.isNaN() ? MissingNode.getInstance() : NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new IllegalStateException("unexpected JSON token " + token);
    };
  }

  private static ObjectNode object(JsonParser parser) throws IOException {
    ObjectNode node = NODES.objectNode();
    for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
      node.set(name, value(parser, parser.nextToken()));
    }
    return node;
  }

  private static ArrayNode array(JsonParser parser) throws IOException {
    ArrayNode node = NODES.arrayNode();
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      node.add(value(parser, token));
    }
    return node;
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /**
   * Formats a tree on one line.
   *
   * @param factory creates the generator
   * @param tree the tree
   * @return UTF-8 text
   * @throws IOException if the tree holds a number that JSON can't express
   */
  static byte[] bytes(JsonFactory factory, JsonNode tree) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator generator = factory.createGenerator(out)) {
      write(generator, tree);
    }
    return out.toByteArray();
  }

  private static void write(JsonGenerator generator, JsonNode node) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> writeObject(generator, node);
      case ARRAY -> writeArray(generator, node);
      case STRING -> generator.writeString(node.textValue());
      case NUMBER -> writeNumber(generator, node);
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      case NULL, MISSING -> generator.writeNull();
      default -> throw new IllegalArgumentException("not a JSON value: " + node.getNodeType());
    }
  }

  private static void writeObject(JsonGenerator generator, JsonNode node) throws IOException {
    generator.writeStartObject();
    for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      generator.writeFieldName(field.getKey());
      write(generator, field.getValue());
    }
    generator.writeEndObject();
  }

  private static void writeArray(JsonGenerator generator, JsonNode node) throws IOException {
    generator.writeStartArray();
    for (JsonNode element : node) {
      write(generator, element);
    }
    generator.writeEndArray();
  }

  private static void writeNumber(JsonGenerator generator, JsonNode node) throws IOException {
    switch (node.numberType()) {
      case INT -> generator.writeNumber(node.intValue());
      case LONG -> generator.writeNumber(node.longValue());
      case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
      case FLOAT, DOUBLE -> generator.writeNumber(node.doubleValue());
      case BIG_DECIMAL -> generator.writeNumber(node.decimalValue());
    }
  }
}
