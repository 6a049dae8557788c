package org.apricotstand.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.declaration.ValidationError;

/**
 * A YAML document as a JSON tree, with the line number of each field.
 *
 * <p>Duplicate fields, YAML aliases and more than one document are reported as errors.
 *
 * <pre>{@code
 * YamlDocument document = YamlDocument.read(file);
 * int line = document.lineAt("adapters[2].route.v3");
 * }</pre>
 */
public final class YamlDocument {

  private static final YAMLFactory YAML_FACTORY = new YAMLFactory();
  private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;
  private static final int MAX_DEPTH = 32;

  private final String file;
  private final Map<String, Integer> lineByPath = new HashMap<>();
  private final List<ValidationError> errors = new ArrayList<>();
  private ObjectNode root = NODE_FACTORY.objectNode();

  private YamlDocument(String file) {
    this.file = file;
  }

  /** Reads a file; failures to read or parse it are reported by {@link #errors}. */
  public static YamlDocument read(Path file) {
    YamlDocument document = new YamlDocument(file.toString());
    try {
      document.parse(Files.readString(file));
    } catch (IOException e) {
      document.addError(1, "", "the file cannot be read: " + e);
    }
    return document;
  }

  /** Parses a text; the file name is only used in error reports. */
  public static YamlDocument of(String file, String text) {
    YamlDocument document = new YamlDocument(file);
    document.parse(text);
    return document;
  }

  /** Returns the file name for error reports. */
  public String file() {
    return file;
  }

  /** Returns the root of the tree, which is empty if the file is empty or malformed. */
  public ObjectNode root() {
    return root;
  }

  /** Returns the errors found while reading and parsing. */
  public List<ValidationError> errors() {
    return List.copyOf(errors);
  }

  /** Returns the line number of each field by its path, such as {@code adapters[2].route.v3}. */
  public Map<String, Integer> lineByPath() {
    return lineByPath;
  }

  /** Returns the line of a field, or of the nearest enclosing field with a known line, or 1. */
  public int lineAt(String path) {
    for (String current = path; !current.isEmpty(); current = parent(current)) {
      Integer line = lineByPath.get(current);
      if (line != null) {
        return line;
      }
    }
    return 1;
  }

  /** Returns the path of the enclosing field, or an empty text at the top level. */
  public static String parent(String path) {
    return path.substring(0, Math.max(0, Math.max(path.lastIndexOf('.'), path.lastIndexOf('['))));
  }

  private void parse(String text) {
    try (YAMLParser parser = YAML_FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first == null || first == JsonToken.VALUE_NULL) {
        return;
      }
      if (first != JsonToken.START_OBJECT) {
        addError(lineOf(parser), "", "expected fields at the top of the file");
        return;
      }
      root = readObject(parser, "", 0);
      if (parser.nextToken() != null) {
        addError(lineOf(parser), "", "expected one document in the file");
      }
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      addError(
          line, "", "malformed YAML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
    } catch (IOException e) {
      addError(1, "", "the file cannot be read: " + e);
    }
  }

  private ObjectNode readObject(YAMLParser parser, String path, int depth) throws IOException {
    ObjectNode object = NODE_FACTORY.objectNode();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      String field = path.isEmpty() ? name : path + "." + name;
      int line = lineOf(parser);
      boolean duplicate = object.has(name);
      lineByPath.putIfAbsent(field, line);
      parser.nextToken();
      JsonNode value = readValue(parser, field, depth + 1);
      if (duplicate) {
        addError(line, field, "duplicate field, first in line " + lineByPath.get(field));
      } else {
        object.set(name, value);
      }
    }
    return object;
  }

  private ArrayNode readArray(YAMLParser parser, String path, int depth) throws IOException {
    ArrayNode array = NODE_FACTORY.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      String item = path + "[" + array.size() + "]";
      lineByPath.putIfAbsent(item, lineOf(parser));
      array.add(readValue(parser, item, depth + 1));
    }
    return array;
  }

  private JsonNode readValue(YAMLParser parser, String path, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new com.fasterxml.jackson.core.JsonParseException(
          parser, "nested more than " + MAX_DEPTH + " levels");
    }
    if (parser.isCurrentAlias()) {
      addError(lineOf(parser), path, "aliases of YAML anchors are not supported");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser, path, depth);
      case START_ARRAY -> readArray(parser, path, depth);
      case VALUE_STRING -> NODE_FACTORY.textNode(parser.getText());
      case VALUE_NUMBER_INT -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
      case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
      case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
      default -> NODE_FACTORY.nullNode();
    };
  }

  private static int lineOf(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private void addError(int line, String field, String expected) {
    errors.add(new ValidationError(file, line, field.isEmpty() ? "(file)" : field, expected));
  }
}
