package org.apricotstand.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.filter.FilteringParserDelegate;
import com.fasterxml.jackson.core.filter.JsonPointerBasedFilter;
import com.fasterxml.jackson.core.filter.TokenFilter;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.http.HttpRequest;

/**
 * Reads the identity of a call, by which duplicates are detected, from the header or the field of
 * the JSON body that its service declares.
 */
final class IdentityReader {

  /** Keeps no names, since a body may have as many different ones as fit into it. */
  private static final JsonFactory PARSERS =
      JsonFactory.builder().disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES).build();

  private IdentityReader() {}

  /** Returns the identity, or an empty result if the call has none or its body is not JSON. */
  static Optional<String> read(HttpRequest request, PlainService service) {
    Optional<String> header =
        Optional.ofNullable(service.identityHeader()).map(request::header).map(String::trim);
    return header
        .filter(value -> !value.isEmpty())
        .or(
            () ->
                Optional.ofNullable(service.identityPointer())
                    .flatMap(pointer -> find(request, pointer)));
  }

  /** Reads token by token, since a tree of many small values takes many times their bytes. */
  private static Optional<String> find(HttpRequest request, String pointer) {
    InputStreamReader text =
        new InputStreamReader(new ByteArrayInputStream(request.body()), StandardCharsets.UTF_8);
    try (JsonParser all = PARSERS.createParser(text);
        JsonParser found =
            new FilteringParserDelegate(
                all,
                new JsonPointerBasedFilter(pointer),
                TokenFilter.Inclusion.ONLY_INCLUDE_ALL,
                true)) {
      Optional<String> last = Optional.empty();
      for (JsonToken token = found.nextToken(); token != null; token = found.nextToken()) {
        last = valueOf(found, token).filter(value -> !value.isBlank());
        found.skipChildren();
      }
      return last;
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<String> valueOf(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case VALUE_STRING, VALUE_TRUE, VALUE_FALSE -> Optional.of(parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> Optional.of(parser.getNumberValue().toString());
      default -> Optional.empty();
    };
  }
}
