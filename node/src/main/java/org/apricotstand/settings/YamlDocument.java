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
import org.apricotstand.declaration.Fault;

/**
 * A YAML file as a tree that knows the line of each field.
 *
 * <pre>{@code
 * YamlDocument document = YamlDocument.read(file);
 * int line = document.line("adapters[2].route.v3");
 * }</pre>
 */
public final class YamlDocument {

  private static final YAMLFactory FACTORY = new YAMLFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
  private static final int MAX_DEPTH = 32;

  private final String file;
  private final Map<String, Integer> lines = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();
  private ObjectNode root = NODES.objectNode();

  private YamlDocument(String file) {
    this.file = file;
  }

  /** Reads a file; what is wrong with it is among the faults. */
  public static YamlDocument read(Path file) {
    YamlDocument document = new YamlDocument(file.toString());
    try {
      document.parse(Files.readString(file));
    } catch (IOException e) {
      document.fault(1, "", "the file cannot be read: " + e);
    }
    return document;
  }

  /** Reads a text; the file name is for reports. */
  public static YamlDocument of(String file, String text) {
    YamlDocument document = new YamlDocument(file);
    document.parse(text);
    return document;
  }

  /** Returns the name of the file. */
  public String file() {
    return file;
  }

  /** Returns the tree; empty when the file is empty or malformed. */
  public ObjectNode root() {
    return root;
  }

  /** Returns the faults of the syntax. */
  public List<Fault> faults() {
    return List.copyOf(faults);
  }

  /** Returns the lines by path. */
  public Map<String, Integer> lines() {
    return lines;
  }

  /** Returns the line of a field, or of the nearest enclosing one. */
  public int line(String path) {
    for (String at = path; !at.isEmpty(); at = parent(at)) {
      Integer line = lines.get(at);
      if (line != null) {
        return line;
      }
    }
    return 1;
  }

  /** Returns the path of the enclosing field, or an empty one. */
  public static String parent(String path) {
    return path.substring(0, Math.max(0, Math.max(path.lastIndexOf('.'), path.lastIndexOf('['))));
  }

  private void parse(String text) {
    try (YAMLParser parser = FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first == null || first == JsonToken.VALUE_NULL) {
        return;
      }
      if (first != JsonToken.START_OBJECT) {
        fault(lineOf(parser), "", "expected fields at the top of the file");
        return;
      }
      root = readObject(parser, "", 0);
      if (parser.nextToken() != null) {
        fault(lineOf(parser), "", "expected one document in the file");
      }
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      fault(line, "", "malformed YAML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
    } catch (IOException e) {
      fault(1, "", "the file cannot be read: " + e);
    }
  }

  private ObjectNode readObject(YAMLParser parser, String path, int depth) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      String field = path.isEmpty() ? name : path + "." + name;
      int line = lineOf(parser);
      boolean duplicate = object.has(name);
      lines.putIfAbsent(field, line);
      parser.nextToken();
      JsonNode value = readValue(parser, field, depth + 1);
      if (duplicate) {
        fault(line, field, "duplicate field, first in line " + lines.get(field));
      } else {
        object.set(name, value);
      }
    }
    return object;
  }

  private ArrayNode readArray(YAMLParser parser, String path, int depth) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      String item = path + "[" + array.size() + "]";
      lines.putIfAbsent(item, lineOf(parser));
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
      fault(lineOf(parser), path, "aliases of YAML anchors are not supported");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser, path, depth);
      case START_ARRAY -> readArray(parser, path, depth);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> NODES.numberNode(parser.getBigIntegerValue());
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }

  private static int lineOf(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private void fault(int line, String field, String expected) {
    faults.add(new Fault(file, line, field.isEmpty() ? "(file)" : field, expected));
  }
}
