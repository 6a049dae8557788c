package org.apricotstand.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * Checks that a JSON tree matches the components of a record, and removes the fields that do not.
 *
 * <p>One pass reports every unknown field and wrong type; the remaining tree can be bound to the
 * record, so that its values can be checked in the same run.
 */
public final class RecordSchemaValidator {

  private final BiConsumer<String, String> errorReporter;

  /**
   * Creates a validator.
   *
   * @param errorReporter receives the path of an invalid field and what was expected there
   */
  public RecordSchemaValidator(BiConsumer<String, String> errorReporter) {
    this.errorReporter = errorReporter;
  }

  /**
   * Reports and removes unknown fields and values of the wrong type. An invalid list item is
   * replaced by an empty one.
   *
   * @param path path of the object, empty for the root
   */
  public void removeInvalidFields(ObjectNode object, Class<?> type, String path) {
    Map<String, RecordComponent> components =
        Arrays.stream(type.getRecordComponents())
            .collect(Collectors.toMap(RecordComponent::getName, component -> component));
    List<String> invalidFields = new ArrayList<>();
    object
        .properties()
        .forEach(
            entry -> {
              String name = entry.getKey();
              String field = path.isEmpty() ? name : path + "." + name;
              RecordComponent component = components.get(name);
              if (component == null) {
                errorReporter.accept(field, "unknown field; expected one of " + fieldNamesOf(type));
                invalidFields.add(name);
              } else if (!matches(entry.getValue(), component.getGenericType(), field)) {
                invalidFields.add(name);
              }
            });
    object.remove(invalidFields);
  }

  private static String fieldNamesOf(Class<?> type) {
    return Arrays.stream(type.getRecordComponents())
        .map(RecordComponent::getName)
        .collect(Collectors.joining(", "));
  }

  private boolean matches(JsonNode value, Type type, String path) {
    if (value.isNull()) {
      return true;
    }
    if (type instanceof ParameterizedType generic) {
      return generic.getRawType() == List.class
          ? matchesList(value, generic.getActualTypeArguments()[0], path)
          : matchesMap(value, generic.getActualTypeArguments()[1], path);
    }
    Class<?> rawClass = (Class<?>) type;
    if (rawClass.isRecord()) {
      return matchesRecord(value, rawClass, path);
    }
    Optional<String> expected = expectedTypeIfMismatched(value, rawClass);
    expected.ifPresent(text -> errorReporter.accept(path, "expected " + text + ", got " + value));
    return expected.isEmpty();
  }

  private boolean matchesRecord(JsonNode value, Class<?> type, String path) {
    if (!(value instanceof ObjectNode object)) {
      errorReporter.accept(path, "expected fields, got " + value);
      return false;
    }
    removeInvalidFields(object, type, path);
    return true;
  }

  private boolean matchesList(JsonNode value, Type item, String path) {
    if (!(value instanceof ArrayNode array)) {
      errorReporter.accept(path, "expected a list, got " + value);
      return false;
    }
    for (int i = 0; i < array.size(); i++) {
      String itemPath = path + "[" + i + "]";
      boolean empty = array.get(i).isNull();
      if (empty) {
        errorReporter.accept(itemPath, "expected a value");
      }
      if (empty || !matches(array.get(i), item, itemPath)) {
        // Replaced, not removed, so that the paths of later items keep the right index.
        array.set(i, placeholder(item));
      }
    }
    return true;
  }

  private static JsonNode placeholder(Type item) {
    return item instanceof Class<?> type && type.isRecord()
        ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode()
        : com.fasterxml.jackson.databind.node.TextNode.valueOf("");
  }

  private boolean matchesMap(JsonNode value, Type item, String path) {
    if (!(value instanceof ObjectNode object)) {
      errorReporter.accept(path, "expected fields, got " + value);
      return false;
    }
    List<String> invalidFields = new ArrayList<>();
    object
        .properties()
        .forEach(
            entry -> {
              String itemPath = path + "." + entry.getKey();
              if (entry.getValue().isNull()) {
                errorReporter.accept(itemPath, "expected a value");
                invalidFields.add(entry.getKey());
              } else if (!matches(entry.getValue(), item, itemPath)) {
                invalidFields.add(entry.getKey());
              }
            });
    object.remove(invalidFields);
    return true;
  }

  private static Optional<String> expectedTypeIfMismatched(JsonNode value, Class<?> type) {
    if (type == String.class) {
      return value.isTextual() ? Optional.empty() : Optional.of("text (in quotes)");
    }
    if (type == boolean.class || type == Boolean.class) {
      return value.isBoolean() ? Optional.empty() : Optional.of("true or false");
    }
    if (type == int.class || type == Integer.class) {
      boolean fits = value.isIntegralNumber() && value.canConvertToInt();
      return fits ? Optional.empty() : Optional.of("a whole number");
    }
    if (type == long.class || type == Long.class) {
      boolean fits = value.isIntegralNumber() && value.canConvertToLong();
      return fits ? Optional.empty() : Optional.of("a whole number");
    }
    if (type == double.class || type == Double.class) {
      boolean fits = value.isNumber() && Double.isFinite(value.doubleValue());
      return fits ? Optional.empty() : Optional.of("a number");
    }
    throw new IllegalArgumentException("no rule for fields of type " + type);
  }
}
