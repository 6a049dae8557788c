package org.apricotstand.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.google.common.hash.Hashing;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationValidator;
import org.apricotstand.declaration.FieldLocator.Position;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/**
 * Stored form of a set of declarations: compressed JSON, stored under the hash of the JSON. Equal
 * sets always have the same hash.
 *
 * @param hash SHA-256 of the JSON, in hexadecimal digits
 * @param bytes JSON compressed with gzip
 */
public record DeclarationContent(String hash, byte[] bytes) {

  private static final ObjectMapper JSON =
      new ObjectMapper()
          .setDefaultPropertyInclusion(JsonInclude.Include.NON_EMPTY)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  // About twenty times the JSON of 14,000 adapters. Bounds the memory that decompressing a damaged
  // object can take.
  private static final int MAX_JSON_BYTES = 64 * 1024 * 1024;

  /** Encodes a set of declarations. */
  public static DeclarationContent encode(DeclarationSet set) {
    try {
      byte[] json = JSON.writeValueAsBytes(set);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
        gzip.write(json);
      }
      return new DeclarationContent(hashOf(json), bytes.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Decodes and validates stored content; fails if its hash differs or it contains an error. */
  public static Result<DeclarationSet> decode(String expectedHash, byte[] bytes) {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] json = gzip.readNBytes(MAX_JSON_BYTES + 1);
      if (json.length > MAX_JSON_BYTES) {
        return failed("content_too_large", "over " + MAX_JSON_BYTES + " bytes");
      }
      if (!hashOf(json).equals(expectedHash)) {
        return failed("content_damaged", "the hash is not " + expectedHash);
      }
      DeclarationSet set = JSON.readValue(json, DeclarationSet.class);
      return DeclarationValidator.validate(set, path -> new Position(expectedHash, 1, path))
          .stream()
          .findFirst()
          .map(
              error ->
                  DeclarationContent.<DeclarationSet>failed("content_invalid", describe(error)))
          .orElseGet(() -> Result.ok(set));
    } catch (IOException e) {
      return failed("content_unreadable", String.valueOf(e.getMessage()));
    }
  }

  private static String describe(ValidationError error) {
    return error.field() + ": " + error.expected();
  }

  private static String hashOf(byte[] json) {
    return Hashing.sha256().hashBytes(json).toString();
  }

  private static <T> Result<T> failed(String code, String detail) {
    return Result.failed(new Failure(Step.PLATFORM, "content", code, detail));
  }
}
