package org.apricotstand.claim;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hashes that identify claimed requests.
 *
 * <pre>{@code
 * String key = ClaimHash.key("orders", "A-17");
 * String fingerprint = ClaimHash.fingerprint("POST", "/orders?dry=0", body);
 * }</pre>
 */
public final class ClaimHash {

  private ClaimHash() {}

  /**
   * Returns the key of the claim row. It covers the service, so that equal idempotency keys of
   * different services get different keys.
   */
  public static String key(String service, String idempotencyKey) {
    return putWithLength(putWithLength(Hashing.sha256().newHasher(), service), idempotencyKey)
        .hash()
        .toString();
  }

  /** Returns a hash that is equal for all attempts of the same request. */
  public static String fingerprint(String method, String pathAndQuery, byte[] body) {
    return putWithLength(putWithLength(Hashing.sha256().newHasher(), method), pathAndQuery)
        .putBytes(body)
        .hash()
        .toString();
  }

  /** Appends a value with its length, so that ("ab", "c") and ("a", "bc") differ. */
  private static Hasher putWithLength(Hasher hasher, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    return hasher.putInt(bytes.length).putBytes(bytes);
  }
}
