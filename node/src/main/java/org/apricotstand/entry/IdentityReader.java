package org.apricotstand.entry;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.http.HttpRequest;

/**
 * Reads the identity of a call, by which duplicates are detected, from the header or the field of
 * the JSON body that its service declares.
 */
final class IdentityReader {

  private static final ObjectMapper JSON = new ObjectMapper();

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

  private static Optional<String> find(HttpRequest request, String pointer) {
    try {
      JsonNode value = JSON.readTree(request.body()).at(JsonPointer.compile(pointer));
      return value.isValueNode() && !value.isNull() && !value.asText().isBlank()
          ? Optional.of(value.asText())
          : Optional.empty();
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
