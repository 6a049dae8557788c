package org.apricotstand.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/**
 * Access to the transactional table service of the platform. Futures never complete exceptionally;
 * failures are part of the result. After a failure with the code {@link #OUTCOME_UNKNOWN}, a write
 * may or may not have taken effect.
 */
public interface TableService {

  /** Failure code: it is unknown whether the write took effect. */
  String OUTCOME_UNKNOWN = "platform_outcome_unknown";

  /** Failure code: nothing was sent, so the call had no effect. */
  String UNREACHABLE = "platform_unreachable";

  /**
   * A stored row.
   *
   * @param version version number, which increases with each write of the row
   */
  record Row(String table, String key, long version, JsonNode value) {}

  /** Requires a row to have a version; 0 requires it to be absent. */
  record Condition(String table, String key, long version) {}

  /** Writes a row, or deletes it when the value is null. */
  record Write(String table, String key, JsonNode value) {}

  /** Writes that take effect together or not at all. */
  record Transaction(List<Condition> conditions, List<Write> writes) {}

  /** Result of a transaction. */
  sealed interface CommitResult {

    /** The transaction took effect; contains the versions of the written rows, in order. */
    record Committed(List<Long> versions) implements CommitResult {}

    /**
     * A condition was not met and the transaction had no effect; contains the current rows of the
     * conditions, without absent ones.
     */
    record Conflict(List<Row> rows) implements CommitResult {}
  }

  /** Commits a transaction. */
  CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs);

  /** Reads a row; empty if it is absent. */
  CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs);

  /** Reads all rows of a table whose keys start with the prefix. */
  CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs);
}
