package org.apricotstand.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes and reads JSON text. */
final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static String encodePretty(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the tree of a text; a missing node when the text is not JSON. */
  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
    }
  }
}
