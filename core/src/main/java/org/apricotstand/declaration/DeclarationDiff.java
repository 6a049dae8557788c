package org.apricotstand.declaration;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Compares two sets of declarations field by field. Items of a list are matched by their names, so
 * that their order has no meaning.
 *
 * <pre>{@code
 * List<Change> changes = DeclarationDiff.between(before, after);
 * }</pre>
 */
public final class DeclarationDiff {

  private DeclarationDiff() {}

  /**
   * A field that differs.
   *
   * @param field field, such as {@code adapters.compliance-letters.route.v2}
   * @param before earlier value, or null when the field was added
   * @param after later value, or null when the field was removed
   */
  public record Change(String field, String before, String after) {

    @Override
    public String toString() {
      if (before == null) {
        return "+ " + field + ": " + after;
      }
      if (after == null) {
        return "- " + field + ": " + before;
      }
      return "~ " + field + ": " + before + " -> " + after;
    }
  }

  /** Returns the fields that differ, in the order of their names. */
  public static List<Change> between(DeclarationSet before, DeclarationSet after) {
    SortedMap<String, String> earlier = flatten(before);
    SortedMap<String, String> later = flatten(after);
    TreeSet<String> fields = new TreeSet<>(earlier.keySet());
    fields.addAll(later.keySet());
    return fields.stream()
        .filter(field -> !Objects.equals(earlier.get(field), later.get(field)))
        .map(field -> new Change(field, earlier.get(field), later.get(field)))
        .toList();
  }

  /**
   * Returns the fields that two changes of the same base both touch. A removed item conflicts with
   * a change of any of its fields, since each of them is among the changed fields.
   */
  public static List<String> inBoth(
      DeclarationSet base, DeclarationSet first, DeclarationSet second) {
    Set<String> ofSecond =
        between(base, second).stream().map(Change::field).collect(Collectors.toSet());
    return between(base, first).stream().map(Change::field).filter(ofSecond::contains).toList();
  }

  private static SortedMap<String, String> flatten(DeclarationSet set) {
    SortedMap<String, String> fields = new TreeMap<>();
    flatten("", set, fields);
    return fields;
  }

  private static void flatten(String path, Object value, SortedMap<String, String> fields) {
    switch (value) {
      case null -> {}
      case Record item -> flattenRecord(path, item, fields);
      case List<?> items when items.stream().anyMatch(Record.class::isInstance) ->
          items.forEach(item -> flatten(path + "." + nameOf(item), item, fields));
      case List<?> items -> {
        if (!items.isEmpty()) {
          fields.put(path, items.toString());
        }
      }
      case Map<?, ?> entries ->
          entries.forEach((key, entry) -> flatten(path + "." + key, entry, fields));
      default -> fields.put(path, value.toString());
    }
  }

  private static void flattenRecord(String path, Record item, SortedMap<String, String> fields) {
    for (RecordComponent component : item.getClass().getRecordComponents()) {
      String field = path.isEmpty() ? component.getName() : path + "." + component.getName();
      flatten(field, read(component, item), fields);
    }
  }

  private static String nameOf(Object item) {
    return switch (item) {
      case DeclarationSet.Model model -> model.name();
      case DeclarationSet.Adapter adapter -> adapter.name();
      case DeclarationSet.Alias alias -> alias.name();
      case DeclarationSet.PlainService service -> service.name();
      case DeclarationSet.Target target -> target.name();
      default -> throw new IllegalArgumentException("not a named declaration: " + item);
    };
  }

  private static Object read(RecordComponent component, Record item) {
    try {
      return component.getAccessor().invoke(item);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }
}
