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
 * Compares two sets of declarations field by field. Items of a list are matched by name, so their
 * order does not matter.
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
   * @param field path of the field, such as {@code adapters.compliance-letters.route.v2}
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

  /** Returns the fields that differ, sorted by their paths. */
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
   * Returns the fields that two sets both changed from the same base. A removed item conflicts with
   * a change to any of its fields, since removing it changes all of them.
   */
  public static List<String> changedInBoth(
      DeclarationSet base, DeclarationSet first, DeclarationSet second) {
    Set<String> changedInSecond =
        between(base, second).stream().map(Change::field).collect(Collectors.toSet());
    return between(base, first).stream()
        .map(Change::field)
        .filter(changedInSecond::contains)
        .toList();
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
