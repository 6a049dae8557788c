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
import org.apricotstand.revision.Head;
import org.apricotstand.revision.HeadRow;

/** Converts the head row between its JSON form and its record. */
final class HeadRows {

  /** Table and key of the row that names the accepted revision. */
  static final String TABLE = "heads";

  static final String KEY = "head";

  private static final String REVISION = "revision";
  private static final String CONTENT_HASH = "contentHash";
  private static final String NONCE = "nonce";
  private static final String HISTORY = "history";

  private HeadRows() {}

  static ObjectNode encode(HeadRow row) {
    ObjectNode value = encode(row.head());
    ArrayNode history = value.putArray(HISTORY);
    row.history().forEach(head -> history.add(encode(head)));
    return value;
  }

  private static ObjectNode encode(Head head) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(REVISION, head.revision())
        .put(CONTENT_HASH, head.contentHash())
        .put(NONCE, head.nonce());
  }

  /** Decodes the result of reading the row. */
  static Result<Optional<HeadRow>> decode(Result<Optional<Row>> read) {
    return switch (read) {
      case Result.Failed<Optional<Row>>(Failure failure) -> Result.failed(failure);
      case Result.Ok<Optional<Row>>(Optional<Row> row) when row.isEmpty() ->
          Result.ok(Optional.empty());
      case Result.Ok<Optional<Row>>(Optional<Row> row) -> decode(row.get()).map(Optional::of);
    };
  }

  /** Decodes a row. */
  static Result<HeadRow> decode(Row row) {
    try {
      List<Head> history = new ArrayList<>();
      row.value().path(HISTORY).forEach(earlier -> history.add(head(earlier)));
      return Result.ok(new HeadRow(head(row.value()), history, row.version()));
    } catch (IllegalArgumentException e) {
      return Result.failed(
          new Failure(
              Step.PLATFORM, TABLE + "/" + KEY, "malformed_head", String.valueOf(e.getMessage())));
    }
  }

  private static Head head(JsonNode value) {
    return new Head(
        value.path(REVISION).asLong(),
        value.path(CONTENT_HASH).asText(),
        value.path(NONCE).asText());
  }
}
