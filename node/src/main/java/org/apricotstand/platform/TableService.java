package org.apricotstand.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/**
 * Port to the transactional table service. Futures never fail; what goes wrong is in the result. A
 * failure with the code {@link #UNKNOWN} means that a write may have taken effect.
 */
public interface TableService {

  /** Code of a failure that leaves open whether the write took effect. */
  String UNKNOWN = "platform_outcome_unknown";

  /** Code of a failure before anything was sent. */
  String UNREACHABLE = "platform_unreachable";

  /**
   * A stored row.
   *
   * @param version number that grows with each write of the row
   */
  record Row(String table, String key, long version, JsonNode value) {}

  /** Requires a row to have a version; 0 requires it to be absent. */
  record Condition(String table, String key, long version) {}

  /** Writes a row, or deletes it when the value is null. */
  record Write(String table, String key, JsonNode value) {}

  /** Writes that take effect together or not at all. */
  record Transaction(List<Condition> conditions, List<Write> writes) {}

  /** How a transaction ended. */
  sealed interface CommitResult {

    /** It took effect; the versions are those of the written rows, in order. */
    record Committed(List<Long> versions) implements CommitResult {}

    /** It had no effect; the rows are the current ones of the conditions, absent ones left out. */
    record Conflict(List<Row> rows) implements CommitResult {}
  }

  /** Commits a transaction. */
  CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs);

  /** Reads a row. */
  CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs);

  /** Reads all rows whose keys start with the prefix. */
  CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs);
}
