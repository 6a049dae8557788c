package org.apricotstand.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * JSON body of a model request, in which only the name of the model is read and replaced.
 *
 * <p>The body is read token by token. A tree of many small values takes many times its bytes, so
 * that one body of legal size could fill the heap.
 */
final class ModelBody {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Keeps no names, since a body may have as many different ones as fit into it. */
  private static final JsonFactory PARSERS =
      JsonFactory.builder().disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES).build();

  private static final String MODEL = "model";

  private record Range(int start, int end) {}

  private final byte[] bytes;
  private final List<Range> models;
  private final int start;
  private final int end;
  private final String model;

  private ModelBody(byte[] bytes, List<Range> models, int start, int end, String model) {
    this.bytes = bytes;
    this.models = models;
    this.start = start;
    this.end = end;
    this.model = model;
  }

  /**
   * Reads a body in UTF-8.
   *
   * @throws IOException if it is not a JSON object, or has no model name
   */
  static ModelBody read(byte[] bytes) throws IOException {
    // In Latin-1 a character is a byte. All bytes that are not ASCII are inside of strings.
    try (JsonParser parser =
        PARSERS.createParser(
            new InputStreamReader(new ByteArrayInputStream(bytes), StandardCharsets.ISO_8859_1))) {
      require(parser.nextToken() == JsonToken.START_OBJECT, "not a JSON object");
      int start = tokenStart(parser);
      List<Range> models = new ArrayList<>();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean isModel = parser.currentName().equals(MODEL);
        JsonToken value = parser.nextToken();
        if (isModel) {
          require(value == JsonToken.VALUE_STRING, "the model is not a string");
          models.add(rangeOfString(parser, bytes));
        } else {
          parser.skipChildren();
        }
      }
      require(!models.isEmpty(), "no model");
      Range last = models.getLast();
      String model = JSON.readValue(bytes, last.start, last.end - last.start, String.class);
      return new ModelBody(bytes, models, start, position(parser), model);
    }
  }

  private static Range rangeOfString(JsonParser parser, byte[] bytes) throws IOException {
    int start = tokenStart(parser);
    parser.finishToken();
    int end = position(parser);
    require(bytes[start] == '"' && bytes[end - 1] == '"' && end - start >= 2, "no model name");
    return new Range(start, end);
  }

  private static int tokenStart(JsonParser parser) {
    return (int) parser.currentTokenLocation().getCharOffset();
  }

  private static int position(JsonParser parser) {
    return (int) parser.currentLocation().getCharOffset();
  }

  private static void require(boolean condition, String message) throws IOException {
    if (!condition) {
      throw new IOException(message);
    }
  }

  /** Returns the name of the model; the last one if there are several. */
  String model() {
    return model;
  }

  /** Returns the body with another name of the model. */
  byte[] withModel(String newModel) throws IOException {
    byte[] name = JSON.writeValueAsBytes(newModel);
    ByteArrayOutputStream out =
        new ByteArrayOutputStream(end - start + models.size() * name.length);
    int copied = start;
    for (Range range : models) {
      out.write(bytes, copied, range.start - copied);
      out.writeBytes(name);
      copied = range.end;
    }
    out.write(bytes, copied, end - copied);
    return out.toByteArray();
  }
}
