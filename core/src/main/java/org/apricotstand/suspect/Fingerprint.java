package org.apricotstand.suspect;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apricotstand.model.AdapterVersion;

/** Hashes that are equal for all attempts of the same request. */
public final class Fingerprint {

  private Fingerprint() {}

  /** Returns the hash of the adapter version, the path and the body. */
  public static String of(AdapterVersion adapterVersion, String path, byte[] body) {
    return of(List.of(adapterVersion.toString(), path), body);
  }

  /** Returns the hash of all parts, in this order, and the body. */
  public static String of(List<String> parts, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    parts.forEach(part -> hasher.putString(part, StandardCharsets.UTF_8).putByte((byte) 0));
    return hasher.putBytes(body).hash().toString();
  }
}
