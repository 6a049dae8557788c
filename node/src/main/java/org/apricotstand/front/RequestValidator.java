package org.apricotstand.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/**
 * Rejects requests that another HTTP implementation on the path could interpret differently, such
 * as those with an ambiguous length (request smuggling).
 */
final class RequestValidator {

  private RequestValidator() {}

  /** Returns the reason for which a request is rejected, or empty when it is valid. */
  static Optional<String> rejectionReason(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (encodings.size() > 1
        || (encodings.size() == 1 && !encodings.getFirst().trim().equalsIgnoreCase("chunked"))) {
      return Optional.of("transfer_encoding");
    }
    if (!encodings.isEmpty() && request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
      return Optional.of("transfer_encoding_in_1_0");
    }
    if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
      return Optional.of("content_length");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      return Optional.of("host");
    }
    if (!request.uri().startsWith("/")) {
      return Optional.of("path");
    }
    return Optional.empty();
  }
}
