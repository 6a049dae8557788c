package org.apricotstand.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.FieldLocator.Position;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.declaration.check.DeclarationCheck;
import org.apricotstand.declaration.check.Finding;
import org.apricotstand.settings.RecordSchemaValidator;
import org.apricotstand.settings.ValidationResult;
import org.apricotstand.settings.YamlDocument;

/**
 * Reads the YAML files of a folder as one set of declarations and validates it as a whole.
 *
 * <pre>{@code
 * ValidationResult<DeclarationSet> set = DeclarationFiles.read(Path.of("declarations"));
 * }</pre>
 */
public final class DeclarationFiles {

  private static final ObjectMapper JSON = new ObjectMapper();
  // Field of an error that concerns a file as a whole.
  private static final String WHOLE_FILE = "(file)";

  private final ObjectNode merged = JSON.createObjectNode();
  private final Map<String, Position> positions = new HashMap<>();
  private final List<ValidationError> errors = new ArrayList<>();
  // Fields that RecordSchemaValidator removed because their name or type does not match the record.
  private final Set<String> unboundFields = new HashSet<>();
  private Position startOfFirstFile = new Position("", 1, WHOLE_FILE);

  private DeclarationFiles() {}

  /** Reads and checks all {@code .yaml} and {@code .yml} files of a folder, or one file. */
  public static ValidationResult<DeclarationSet> read(Path folderOrFile) {
    return check(folderOrFile).toResult();
  }

  /** Does the same as {@link #read}, and also returns the warnings. */
  public static CheckedDeclarations check(Path folderOrFile) {
    if (Files.isRegularFile(folderOrFile)) {
      return check(List.of(YamlDocument.read(folderOrFile)));
    }
    try (Stream<Path> found = Files.list(folderOrFile)) {
      List<YamlDocument> documents =
          found.filter(DeclarationFiles::isYaml).sorted().map(YamlDocument::read).toList();
      return documents.isEmpty()
          ? invalid(folderOrFile, "expected at least one .yaml file in the folder")
          : check(documents);
    } catch (IOException e) {
      return invalid(folderOrFile, "the folder cannot be read: " + e);
    }
  }

  private static boolean isYaml(Path file) {
    return file.toString().endsWith(".yaml") || file.toString().endsWith(".yml");
  }

  private static CheckedDeclarations invalid(Path path, String expected) {
    ValidationError error = new ValidationError(path.toString(), 1, WHOLE_FILE, expected);
    return new CheckedDeclarations(Optional.empty(), List.of(Finding.of(error)));
  }

  /** Merges documents into one set and checks it. */
  static CheckedDeclarations check(List<YamlDocument> documents) {
    DeclarationFiles files = new DeclarationFiles();
    files.startOfFirstFile = new Position(documents.getFirst().file(), 1, WHOLE_FILE);
    documents.forEach(files::rejectEmpty);
    documents.forEach(files::merge);
    new RecordSchemaValidator(files::addBindingError)
        .removeInvalidFields(files.merged, DeclarationSet.class, "");
    try {
      return files.check(JSON.treeToValue(files.merged, DeclarationSet.class));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the merged declarations do not match their schema", e);
    }
  }

  private CheckedDeclarations check(DeclarationSet set) {
    List<Finding> found =
        DeclarationCheck.check(set, this::locateUnlessUnbound).stream()
            .filter(finding -> !finding.file().isEmpty())
            .toList();
    if (errors.isEmpty() && found.stream().noneMatch(Finding::isError)) {
      return new CheckedDeclarations(Optional.of(set), found);
    }
    // What could not be read from the files would only repeat their errors as an empty set.
    List<Finding> findings =
        Stream.concat(
                errors.stream().map(Finding::of),
                found.stream()
                    .filter(Finding::isError)
                    .filter(
                        finding ->
                            errors.isEmpty() || !finding.rule().equals(DeclarationCheck.EMPTY_SET)))
            .distinct()
            .sorted(Finding.ORDER)
            .toList();
    return new CheckedDeclarations(Optional.empty(), findings);
  }

  private void rejectEmpty(YamlDocument document) {
    if (document.root().isEmpty() && document.errors().isEmpty()) {
      errors.add(
          new ValidationError(
              document.file(), 1, WHOLE_FILE, "expected declarations, got an empty file"));
    }
  }

  private void merge(YamlDocument document) {
    errors.addAll(document.errors());
    Map<String, Integer> offsets = new HashMap<>();
    document
        .root()
        .properties()
        .forEach(entry -> mergeSection(document, entry.getKey(), entry.getValue(), offsets));
    document
        .lineByPath()
        .forEach(
            (path, line) ->
                positions.putIfAbsent(
                    toMergedPath(path, offsets), new Position(document.file(), line, path)));
  }

  /**
   * Adds a top-level section to the merged set. Lists are appended, and the index at which the
   * items of this document start is put into {@code offsets}. Any other section may occur only
   * once.
   */
  private void mergeSection(
      YamlDocument document, String name, JsonNode section, Map<String, Integer> offsets) {
    JsonNode existing = merged.get(name);
    if (existing == null || existing.isNull()) {
      merged.set(name, section);
    } else if (existing instanceof ArrayNode earlier && section instanceof ArrayNode later) {
      offsets.put(name, earlier.size());
      earlier.addAll(later);
    } else if (!section.isNull()) {
      Position first = positions.get(name);
      errors.add(
          new ValidationError(
              document.file(),
              document.lineAt(name),
              name,
              "expected one section, first at " + first.file() + ":" + first.line()));
    }
  }

  /** Converts a path in one file to the path in the merged set by shifting the list index. */
  private static String toMergedPath(String path, Map<String, Integer> offsets) {
    int open = path.indexOf('[');
    if (open < 0) {
      return path;
    }
    int offset = offsets.getOrDefault(path.substring(0, open), 0);
    int close = path.indexOf(']', open);
    int index = Integer.parseInt(path.substring(open + 1, close)) + offset;
    return path.substring(0, open + 1) + index + path.substring(close);
  }

  private void addBindingError(String path, String expected) {
    unboundFields.add(path);
    Position position = locate(path);
    errors.add(new ValidationError(position.file(), position.line(), position.field(), expected));
  }

  /** Returns a position without a file for fields whose binding error was already reported. */
  private Position locateUnlessUnbound(String path) {
    for (String field = path; !field.isEmpty(); field = YamlDocument.parent(field)) {
      if (unboundFields.contains(field)) {
        return new Position("", 0, path);
      }
    }
    return locate(path);
  }

  /** Returns the position of a field, or of the nearest enclosing one that is in a file. */
  private Position locate(String path) {
    StringBuilder missingSuffix = new StringBuilder();
    String ancestor = path;
    while (!ancestor.isEmpty()) {
      Position position = positions.get(ancestor);
      if (position != null) {
        return new Position(position.file(), position.line(), position.field() + missingSuffix);
      }
      String parent = YamlDocument.parent(ancestor);
      missingSuffix.insert(0, ancestor.substring(parent.length()));
      ancestor = parent;
    }
    return new Position(startOfFirstFile.file(), startOfFirstFile.line(), path);
  }
}
