package org.apricotstand.claim;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hashes of what identifies a request.
 *
 * <pre>{@code
 * String key = ClaimHash.key("orders", "A-17");
 * String fingerprint = ClaimHash.fingerprint("POST", "/orders?dry=0", body);
 * }</pre>
 */
public final class ClaimHash {

  private ClaimHash() {}

  /** Returns the key of the claim row. The service is part of it, so that keys never collide. */
  public static String key(String service, String identity) {
    return part(part(Hashing.sha256().newHasher(), service), identity).hash().toString();
  }

  /** Returns what two sendings of the same request have in common. */
  public static String fingerprint(String method, String pathAndQuery, byte[] body) {
    return part(part(Hashing.sha256().newHasher(), method), pathAndQuery)
        .putBytes(body)
        .hash()
        .toString();
  }

  /** Appends a part with its length, so that ("ab", "c") and ("a", "bc") differ. */
  private static Hasher part(Hasher hasher, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    return hasher.putInt(bytes.length).putBytes(bytes);
  }
}
