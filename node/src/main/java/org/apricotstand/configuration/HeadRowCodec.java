package org.apricotstand.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.revision.AcceptedRevision;
import org.apricotstand.revision.HeadRow;

/** Converts the head row between its JSON form and {@link HeadRow}. */
final class HeadRowCodec {

  /** Table that contains the head row. */
  static final String TABLE = "heads";

  /** Key of the head row. */
  static final String KEY = "head";

  private static final String REVISION = "revision";
  private static final String CONTENT_HASH = "contentHash";
  private static final String NONCE = "nonce";
  private static final String HISTORY = "history";

  private HeadRowCodec() {}

  /** Encodes a row; its version is not part of the JSON. */
  static ObjectNode encode(HeadRow row) {
    ObjectNode value = encode(row.head());
    ArrayNode history = value.putArray(HISTORY);
    row.history().forEach(accepted -> history.add(encode(accepted)));
    return value;
  }

  private static ObjectNode encode(AcceptedRevision accepted) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(REVISION, accepted.revision())
        .put(CONTENT_HASH, accepted.contentHash())
        .put(NONCE, accepted.nonce());
  }

  /** Decodes the result of reading the head row. */
  static Result<Optional<HeadRow>> decode(Result<Optional<Row>> read) {
    return switch (read) {
      case Result.Failed<Optional<Row>>(Failure failure) -> Result.failed(failure);
      case Result.Ok<Optional<Row>>(Optional<Row> row) when row.isEmpty() ->
          Result.ok(Optional.empty());
      case Result.Ok<Optional<Row>>(Optional<Row> row) -> decode(row.get()).map(Optional::of);
    };
  }

  /** Decodes the head row; fails with code {@code malformed_head} if a value is missing. */
  static Result<HeadRow> decode(Row row) {
    try {
      List<AcceptedRevision> history = new ArrayList<>();
      row.value().path(HISTORY).forEach(earlier -> history.add(decodeRevision(earlier)));
      return Result.ok(new HeadRow(decodeRevision(row.value()), history, row.version()));
    } catch (IllegalArgumentException e) {
      return Result.failed(
          new Failure(
              Step.PLATFORM, TABLE + "/" + KEY, "malformed_head", String.valueOf(e.getMessage())));
    }
  }

  private static AcceptedRevision decodeRevision(JsonNode value) {
    return new AcceptedRevision(
        value.path(REVISION).asLong(),
        value.path(CONTENT_HASH).asText(),
        value.path(NONCE).asText());
  }
}
