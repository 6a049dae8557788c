package org.apricotstand.request;

import java.util.List;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.suspect.Fingerprint;

/**
 * Computes the fingerprint of a request, which is the same each time that its caller sends it,
 * whatever request id it has.
 */
final class RequestFingerprint {

  private RequestFingerprint() {}

  /** Returns a hash of caller, method, URI and body. */
  static String of(CallerRequest request) {
    List<String> parts = List.of(request.caller(), request.method().name(), request.uri());
    return Fingerprint.of(parts, request.body());
  }
}
