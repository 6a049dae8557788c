package org.apricotstand.suspect;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.apricotstand.model.AdapterVersion;

/** What two sendings of the same model request have in common. */
public final class Fingerprint {

  private Fingerprint() {}

  /** Returns the hash of adapter version, path and body. */
  public static String of(AdapterVersion adapterVersion, String path, byte[] body) {
    return Hashing.sha256()
        .newHasher()
        .putString(adapterVersion.toString(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(path, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putBytes(body)
        .hash()
        .toString();
  }
}
