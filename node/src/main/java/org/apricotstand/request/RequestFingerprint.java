package org.apricotstand.request;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.apricotstand.front.CallerRequest;

/** What all sendings of one request have in common, whatever their ids. */
final class RequestFingerprint {

  private RequestFingerprint() {}

  /** Returns a hash of caller, method, path and body. */
  static String of(CallerRequest request) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(request.caller(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(request.method().name(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(request.uri(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putBytes(request.body())
        .hash()
        .toString();
  }
}
