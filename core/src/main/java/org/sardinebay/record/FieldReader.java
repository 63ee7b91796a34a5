package org.sardinebay.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Address;

/**
 * Reads the fields of a JSON object and collects their problems.
 *
 * <pre>{@code
 * FieldReader reader = FieldReader.of(tree);
 * String host = reader.text("host");
 * long limit = reader.number("connectionLimit", 1, 1000);
 * if (!reader.problems().isEmpty()) { ... }
 * }</pre>
 *
 * <p>An invalid field yields a placeholder value, so that all problems are found in one pass. The
 * values are meaningful only if {@link #problems()} stays empty.
 */
public final class FieldReader {
  private static final String ADDRESS_LIST = "a list of addresses such as 127.0.0.1:7000";

  private static final String ABSENT = "absent";
  private static final int MAX_SHOWN_VALUE_LENGTH = 80;
  private static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);

  private final JsonNode node;
  private final String path;
  private final List<FieldProblem> problems;
  private final Set<String> known = new HashSet<>();

  private FieldReader(JsonNode node, String path, List<FieldProblem> problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Creates a reader for an object.
   *
   * @param root the object; any other type of node is reported as a problem
   * @return a reader with its own list of problems
   */
  public static FieldReader of(JsonNode root) {
    FieldReader reader = new FieldReader(root, "", new ArrayList<>());
    if (!root.isObject()) {
      reader.report("", root, "an object");
    }
    return reader;
  }

  /**
   * All problems found so far, nested objects included.
   *
   * @return the problems, in the order in which they were found
   */
  public List<FieldProblem> problems() {
    return List.copyOf(problems);
  }

  /**
   * Whether a field is present.
   *
   * @param field its name
   * @return true unless it is absent or null
   */
  public boolean has(String field) {
    return node.hasNonNull(field);
  }

  /**
   * Reads a string that must be present and not empty.
   *
   * @param field its name
   * @return the string
   */
  public String text(String field) {
    JsonNode value = value(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      report(field, value, "a text that is not empty");
      return "?";
    }
    return value.textValue();
  }

  /**
   * Reads an optional string.
   *
   * @param field its name
   * @param fallback the value if the field is absent
   * @return the string
   */
  public String text(String field, String fallback) {
    known.add(field);
    if (!has(field)) {
      return fallback;
    }
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      report(field, value, "a text");
      return fallback;
    }
    return value.textValue();
  }

  /**
   * Reads an integer.
   *
   * @param field its name
   * @param min the minimum value allowed
   * @param max the maximum value allowed
   * @return the integer
   */
  public long number(String field, long min, long max) {
    JsonNode value = value(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      report(field, value, range(min, max));
      return min;
    }
    if (value.longValue() < min || value.longValue() > max) {
      report(field, value, range(min, max));
      return min;
    }
    return value.longValue();
  }

  /**
   * Reads an optional integer.
   *
   * @param field its name
   * @param min the minimum value allowed
   * @param max the maximum value allowed
   * @param fallback the value if the field is absent
   * @return the integer
   */
  public long number(String field, long min, long max, long fallback) {
    known.add(field);
    return has(field) ? number(field, min, max) : fallback;
  }

  /**
   * Reads an optional number that may have a fraction.
   *
   * @param field its name
   * @param min the minimum value allowed
   * @param max the maximum value allowed
   * @param fallback the value if the field is absent
   * @return the number
   */
  public double decimal(String field, double min, double max, double fallback) {
    known.add(field);
    if (!has(field)) {
      return fallback;
    }
    JsonNode value = node.path(field);
    if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
      report(field, value, "a number from " + min + " to " + max);
      return fallback;
    }
    return value.doubleValue();
  }

  /**
   * Reads an optional boolean.
   *
   * @param field its name
   * @param fallback the value if the field is absent
   * @return the boolean
   */
  public boolean flag(String field, boolean fallback) {
    known.add(field);
    if (!has(field)) {
      return fallback;
    }
    JsonNode value = node.path(field);
    if (!value.isBoolean()) {
      report(field, value, "true or false");
      return fallback;
    }
    return value.booleanValue();
  }

  /**
   * Reads an address.
   *
   * @param field its name
   * @return the address
   */
  public Address address(String field) {
    JsonNode value = value(field);
    Optional<Address> address =
        value.isTextual() ? Address.parse(value.textValue()) : Optional.empty();
    if (address.isEmpty()) {
      report(field, value, "an address such as 127.0.0.1:7000");
    }
    return address.orElse(PLACEHOLDER_ADDRESS);
  }

  /**
   * Reads an optional address.
   *
   * @param field its name
   * @return the address, empty if absent
   */
  public Optional<Address> optionalAddress(String field) {
    known.add(field);
    return has(field) ? Optional.of(address(field)) : Optional.empty();
  }

  /**
   * Reads a list of addresses.
   *
   * @param field its name
   * @return the addresses, empty if the field is absent
   */
  public List<Address> addresses(String field) {
    JsonNode value = has(field) ? value(field) : optionalValue(field);
    List<Address> addresses = new ArrayList<>();
    if (has(field) && !value.isArray()) {
      report(field, value, ADDRESS_LIST);
    }
    for (JsonNode element : value) {
      Optional<Address> address =
          element.isTextual() ? Address.parse(element.textValue()) : Optional.empty();
      address.ifPresentOrElse(addresses::add, () -> report(field, value, ADDRESS_LIST));
    }
    return addresses;
  }

  /**
   * Reads an optional enum constant, written in lower case with hyphens.
   *
   * @param field its name
   * @param fallback the value if the field is absent
   * @param <E> the type of the enum
   * @return the constant
   */
  public <E extends Enum<E>> E enumConstant(String field, E fallback) {
    known.add(field);
    if (!has(field)) {
      return fallback;
    }
    JsonNode value = node.path(field);
    E[] constants = fallback.getDeclaringClass().getEnumConstants();
    for (E constant : constants) {
      if (value.isTextual() && value.textValue().equals(jsonName(constant))) {
        return constant;
      }
    }
    report(field, value, "one of " + Arrays.stream(constants).map(FieldReader::jsonName).toList());
    return fallback;
  }

  /**
   * Returns the name of an enum constant in JSON.
   *
   * @param constant the constant
   * @return the constant's name in lower case with hyphens
   */
  public static String jsonName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Reads a nested object.
   *
   * @param field its name
   * @return a reader that collects its problems in the same list
   */
  public FieldReader object(String field) {
    JsonNode value = value(field);
    if (!value.isObject()) {
      report(field, value, "an object");
    }
    return new FieldReader(value, path(field), problems);
  }

  /**
   * Reads a list of objects.
   *
   * @param field its name
   * @param minSize the minimum number of elements
   * @return a reader for each element, which collects its problems in the same list
   */
  public List<FieldReader> objects(String field, int minSize) {
    JsonNode value = minSize == 0 && !has(field) ? optionalValue(field) : value(field);
    if (!value.isArray() && !(minSize == 0 && value.isMissingNode())) {
      report(field, value, "a list of objects");
      return List.of();
    }
    if (value.size() < minSize) {
      report(field, value, "a list of at least " + minSize + " objects");
    }
    List<FieldReader> readers = new ArrayList<>();
    for (int i = 0; i < value.size(); i++) {
      String element = field + "[" + i + "]";
      if (!value.get(i).isObject()) {
        report(element, value.get(i), "an object");
      }
      readers.add(new FieldReader(value.get(i), path(element), problems));
    }
    return readers;
  }

  /**
   * The underlying object, for fields that are processed without a reader.
   *
   * @return the object, or an empty one if the underlying node is not an object
   */
  public ObjectNode tree() {
    return node instanceof ObjectNode object ? object : JsonNodeFactory.instance.objectNode();
  }

  /** Reports each field that no previous call has read. Call this method last. */
  public void rejectUnknownFields() {
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!known.contains(name)) {
        report(name, node.path(name), "one of the fields " + known.stream().sorted().toList());
      }
    }
  }

  /**
   * Reports a problem that the calling code found itself.
   *
   * @param field the field's name
   * @param allowed which values are allowed
   */
  public void addProblem(String field, String allowed) {
    report(field, node.path(field), allowed);
  }

  private JsonNode value(String field) {
    known.add(field);
    return node.hasNonNull(field) ? node.path(field) : MissingNode.getInstance();
  }

  private JsonNode optionalValue(String field) {
    known.add(field);
    return MissingNode.getInstance();
  }

  private void report(String field, JsonNode value, String allowed) {
    String shown = value.isMissingNode() ? ABSENT : value.toString();
    if (shown.length() > MAX_SHOWN_VALUE_LENGTH) {
      shown = shown.substring(0, MAX_SHOWN_VALUE_LENGTH) + "...";
    }
    problems.add(new FieldProblem(path(field), shown, allowed));
  }

  private String path(String field) {
    if (path.isEmpty()) {
      return field;
    }
    return field.isEmpty() ? path : path + "." + field;
  }

  private static String range(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }
}
