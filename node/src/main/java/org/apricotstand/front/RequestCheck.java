package org.apricotstand.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Finds requests that another party on the way could read differently. */
final class RequestCheck {

  private RequestCheck() {}

  /** Returns why a request is refused; empty when it is proper. */
  static Optional<String> fault(HttpRequest request) {
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
