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
 * Compares a tree with the components of a record and removes what does not fit, so that one pass
 * reports every unknown field and wrong type and the rest can still be checked.
 */
public final class RecordBinder {

  private final BiConsumer<String, String> report;

  /**
   * Creates a binder.
   *
   * @param report receives the path of a faulty field and what was expected there
   */
  public RecordBinder(BiConsumer<String, String> report) {
    this.report = report;
  }

  /** Reports and removes what does not fit the record. */
  public void prune(ObjectNode object, Class<?> type, String path) {
    Map<String, RecordComponent> components =
        Arrays.stream(type.getRecordComponents())
            .collect(Collectors.toMap(RecordComponent::getName, component -> component));
    List<String> misfits = new ArrayList<>();
    object
        .properties()
        .forEach(
            entry -> {
              String name = entry.getKey();
              String field = path.isEmpty() ? name : path + "." + name;
              RecordComponent component = components.get(name);
              if (component == null) {
                report.accept(field, "unknown field; expected one of " + namesOf(type));
                misfits.add(name);
              } else if (!fits(entry.getValue(), component.getGenericType(), field)) {
                misfits.add(name);
              }
            });
    object.remove(misfits);
  }

  private static String namesOf(Class<?> type) {
    return Arrays.stream(type.getRecordComponents())
        .map(RecordComponent::getName)
        .collect(Collectors.joining(", "));
  }

  private boolean fits(JsonNode value, Type type, String path) {
    if (value.isNull()) {
      return true;
    }
    if (type instanceof ParameterizedType generic) {
      return generic.getRawType() == List.class
          ? fitsList(value, generic.getActualTypeArguments()[0], path)
          : fitsMap(value, generic.getActualTypeArguments()[1], path);
    }
    Class<?> plain = (Class<?>) type;
    if (plain.isRecord()) {
      return fitsRecord(value, plain, path);
    }
    Optional<String> expected = expectedInstead(value, plain);
    expected.ifPresent(text -> report.accept(path, "expected " + text + ", got " + value));
    return expected.isEmpty();
  }

  private boolean fitsRecord(JsonNode value, Class<?> type, String path) {
    if (!(value instanceof ObjectNode object)) {
      report.accept(path, "expected fields, got " + value);
      return false;
    }
    prune(object, type, path);
    return true;
  }

  private boolean fitsList(JsonNode value, Type item, String path) {
    if (!(value instanceof ArrayNode array)) {
      report.accept(path, "expected a list, got " + value);
      return false;
    }
    for (int i = 0; i < array.size(); i++) {
      String place = path + "[" + i + "]";
      boolean empty = array.get(i).isNull();
      if (empty) {
        report.accept(place, "expected a value");
      }
      if (empty || !fits(array.get(i), item, place)) {
        // Keeps the index of the later items, whose places would otherwise be wrong.
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

  private boolean fitsMap(JsonNode value, Type item, String path) {
    if (!(value instanceof ObjectNode object)) {
      report.accept(path, "expected fields, got " + value);
      return false;
    }
    List<String> misfits = new ArrayList<>();
    object
        .properties()
        .forEach(
            entry -> {
              String place = path + "." + entry.getKey();
              if (entry.getValue().isNull()) {
                report.accept(place, "expected a value");
                misfits.add(entry.getKey());
              } else if (!fits(entry.getValue(), item, place)) {
                misfits.add(entry.getKey());
              }
            });
    object.remove(misfits);
    return true;
  }

  private static Optional<String> expectedInstead(JsonNode value, Class<?> type) {
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
