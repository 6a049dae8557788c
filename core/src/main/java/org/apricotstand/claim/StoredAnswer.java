package org.apricotstand.claim;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Answer that is stored for duplicates of its request.
 *
 * @param status HTTP status
 * @param headers headers to send to the caller
 * @param body body of at most {@link #MAX_BODY_BYTES}
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body) {

  /** Maximum size of a stored body, so that a row stays small enough for the table service. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Header that marks an answer whose body was too long to be stored. */
  public static final String NOTE_HEADER = "x-apricotstand-answer";

  /** Returns the answer to store; a body that is too long is replaced by a note. */
  public static StoredAnswer of(int status, Map<String, String> headers, byte[] body) {
    if (body.length <= MAX_BODY_BYTES) {
      return new StoredAnswer(status, headers, body);
    }
    Map<String, String> noteHeaders = new LinkedHashMap<>();
    noteHeaders.put("content-type", "application/json");
    noteHeaders.put(NOTE_HEADER, "not-kept");
    String note =
        "{\"note\":\"the request was run; its answer of "
            + body.length
            + " bytes was too long to be kept\"}";
    return new StoredAnswer(status, noteHeaders, note.getBytes(StandardCharsets.UTF_8));
  }
}
