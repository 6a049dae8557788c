package org.apricotstand.request;

import java.util.List;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.suspect.Fingerprint;

/** What all sendings of one request have in common, whatever their ids. */
final class RequestFingerprint {

  private RequestFingerprint() {}

  /** Returns a hash of caller, method, path and body. */
  static String of(CallerRequest request) {
    List<String> parts = List.of(request.caller(), request.method().name(), request.uri());
    return Fingerprint.of(parts, request.body());
  }
}
