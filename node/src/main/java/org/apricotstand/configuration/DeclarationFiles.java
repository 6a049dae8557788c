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
import java.util.Set;
import java.util.stream.Stream;
import org.apricotstand.declaration.DeclarationCheck;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.Fault;
import org.apricotstand.declaration.Positions.Position;
import org.apricotstand.settings.RecordSchemaValidator;
import org.apricotstand.settings.ValidationResult;
import org.apricotstand.settings.YamlDocument;

/**
 * Reads the YAML files of a folder as one set of declarations and checks the whole.
 *
 * <pre>{@code
 * ValidationResult<DeclarationSet> set = DeclarationFiles.read(Path.of("declarations"));
 * }</pre>
 */
public final class DeclarationFiles {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode merged = JSON.createObjectNode();
  private final Map<String, Position> positions = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();
  private final Set<String> misfits = new HashSet<>();
  private Position start = new Position("", 1, "(file)");

  private DeclarationFiles() {}

  /** Reads all {@code .yaml} and {@code .yml} files of a folder, or one file. */
  public static ValidationResult<DeclarationSet> read(Path folderOrFile) {
    if (Files.isRegularFile(folderOrFile)) {
      return check(List.of(YamlDocument.read(folderOrFile)));
    }
    try (Stream<Path> found = Files.list(folderOrFile)) {
      List<YamlDocument> documents =
          found.filter(DeclarationFiles::isYaml).sorted().map(YamlDocument::read).toList();
      return documents.isEmpty()
          ? faulty(folderOrFile, "expected at least one .yaml file in the folder")
          : check(documents);
    } catch (IOException e) {
      return faulty(folderOrFile, "the folder cannot be read: " + e);
    }
  }

  private static boolean isYaml(Path file) {
    return file.toString().endsWith(".yaml") || file.toString().endsWith(".yml");
  }

  private static ValidationResult<DeclarationSet> faulty(Path place, String expected) {
    return new ValidationResult.Invalid<>(
        List.of(new Fault(place.toString(), 1, "(file)", expected)));
  }

  /** Checks documents as one set. */
  static ValidationResult<DeclarationSet> check(List<YamlDocument> documents) {
    DeclarationFiles files = new DeclarationFiles();
    files.start = new Position(documents.getFirst().file(), 1, "(file)");
    documents.forEach(files::merge);
    new RecordSchemaValidator(files::misfit)
        .removeInvalidFields(files.merged, DeclarationSet.class, "");
    try {
      DeclarationSet set = JSON.treeToValue(files.merged, DeclarationSet.class);
      DeclarationCheck.check(set, files::locateUnlessMisfit).stream()
          .filter(fault -> !fault.file().isEmpty())
          .forEach(files.faults::add);
      return files.faults.isEmpty()
          ? new ValidationResult.Valid<>(set)
          : new ValidationResult.Invalid<>(files.faults);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a pruned tree fits its record", e);
    }
  }

  private void merge(YamlDocument document) {
    faults.addAll(document.errors());
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
                    shifted(path, offsets), new Position(document.file(), line, path)));
  }

  private void mergeSection(
      YamlDocument document, String name, JsonNode section, Map<String, Integer> offsets) {
    JsonNode present = merged.get(name);
    if (present == null || present.isNull()) {
      merged.set(name, section);
    } else if (present instanceof ArrayNode earlier && section instanceof ArrayNode later) {
      offsets.put(name, earlier.size());
      earlier.addAll(later);
    } else if (!section.isNull()) {
      Position first = positions.get(name);
      faults.add(
          new Fault(
              document.file(),
              document.lineAt(name),
              name,
              "expected one section, first at " + first.file() + ":" + first.line()));
    }
  }

  /** Returns the path in the whole set of a path in one file. */
  private static String shifted(String path, Map<String, Integer> offsets) {
    int open = path.indexOf('[');
    if (open < 0) {
      return path;
    }
    int offset = offsets.getOrDefault(path.substring(0, open), 0);
    int close = path.indexOf(']', open);
    int index = Integer.parseInt(path.substring(open + 1, close)) + offset;
    return path.substring(0, open + 1) + index + path.substring(close);
  }

  private void misfit(String path, String expected) {
    misfits.add(path);
    Position position = locate(path);
    faults.add(new Fault(position.file(), position.line(), position.field(), expected));
  }

  /** Returns a position without file for fields whose fault was reported before. */
  private Position locateUnlessMisfit(String path) {
    for (String at = path; !at.isEmpty(); at = YamlDocument.parent(at)) {
      if (misfits.contains(at)) {
        return new Position("", 0, path);
      }
    }
    return locate(path);
  }

  private Position locate(String path) {
    StringBuilder missing = new StringBuilder();
    String rest = path;
    while (!rest.isEmpty()) {
      Position position = positions.get(rest);
      if (position != null) {
        return new Position(position.file(), position.line(), position.field() + missing);
      }
      String parent = YamlDocument.parent(rest);
      missing.insert(0, rest.substring(parent.length()));
      rest = parent;
    }
    return new Position(start.file(), start.line(), path);
  }
}
