package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, lists are lists, numbers are Long or Double. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> parseObject(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> object = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      object.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return object;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    switch (value) {
      case null -> out.append("null");
      case String string -> writeString(string, out);
      case Map<?, ?> map -> {
        String separator = "{";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          writeString((String) entry.getKey(), out);
          out.append(':');
          write(entry.getValue(), out);
          separator = ",";
        }
        out.append(map.isEmpty() ? "{}" : "}");
      }
      case Iterable<?> list -> {
        out.append('[');
        String separator = "";
        for (Object item : list) {
          out.append(separator);
          write(item, out);
          separator = ",";
        }
        out.append(']');
      }
      default -> out.append(value);
    }
  }

  private static void writeString(String string, StringBuilder out) {
    out.append('"');
    for (char next : string.toCharArray()) {
      if (next == '"' || next == '\\') {
        out.append('\\').append(next);
      } else if (next < ' ') {
        out.append(String.format("\\u%04x", (int) next));
      } else {
        out.append(next);
      }
    }
    out.append('"');
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char peek() {
    skipSpace();
    return text.charAt(at);
  }

  private Object value() {
    return switch (peek()) {
      case '{' -> readObject();
      case '[' -> readList();
      case '"' -> readString();
      default -> readWord();
    };
  }

  private Map<String, Object> readObject() {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    while (peek() != '}') {
      String name = readString();
      peek();
      at++;
      object.put(name, value());
      if (peek() == ',') {
        at++;
      }
    }
    at++;
    return object;
  }

  private List<Object> readList() {
    List<Object> list = new ArrayList<>();
    at++;
    while (peek() != ']') {
      list.add(value());
      if (peek() == ',') {
        at++;
      }
    }
    at++;
    return list;
  }

  private String readString() {
    peek();
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(next);
      }
    }
    at++;
    return out.toString();
  }

  private Object readWord() {
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
    };
  }
}
