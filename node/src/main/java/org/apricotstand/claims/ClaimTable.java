package org.apricotstand.claims;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apricotstand.claim.BatchEvent;
import org.apricotstand.claim.ClaimRow;
import org.apricotstand.claim.ClaimWrite;
import org.apricotstand.claim.StoredClaim;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.observe.EventLog;
import org.apricotstand.platform.TableService;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;

/** Reads and writes claim rows in the table service. */
final class ClaimTable {

  private static final EventLog LOG = EventLog.of(ClaimTable.class);
  private static final String TABLE = "claims";
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Timeout of one call. The store usually answers within milliseconds, and a write can safely be
   * retried after the timeout.
   */
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final TableService tables;

  ClaimTable(TableService tables) {
    this.tables = tables;
  }

  /** Commits writes of distinct rows and returns the event for the batcher; never fails. */
  CompletableFuture<BatchEvent> commit(long batchId, List<ClaimWrite> writes) {
    Transaction transaction =
        new Transaction(
            writes.stream()
                .map(write -> new Condition(TABLE, write.key(), write.expectedVersion()))
                .toList(),
            writes.stream()
                .map(write -> new Write(TABLE, write.key(), JSON.valueToTree(newContent(write))))
                .toList());
    return callWithTimeout(deadlineMs -> tables.commit(transaction, deadlineMs))
        .handle(
            (result, error) ->
                error != null ? new BatchEvent.OutcomeUnknown(batchId) : eventOf(batchId, result))
        .exceptionally(error -> new BatchEvent.OutcomeUnknown(batchId));
  }

  private static ClaimRow newContent(ClaimWrite write) {
    return write.row().orElse(null);
  }

  private static BatchEvent eventOf(long batchId, Result<CommitResult> result) {
    return switch (result) {
      case Result.Ok<CommitResult>(CommitResult.Committed(List<Long> versions)) ->
          new BatchEvent.Committed(batchId, versions);
      case Result.Ok<CommitResult>(CommitResult.Conflict(List<Row> rows)) ->
          new BatchEvent.Conflicted(batchId, toClaimsByKey(rows));
      case Result.Failed<CommitResult>(Failure failure)
          when failure.code().equals(TableService.UNREACHABLE) ->
          new BatchEvent.Unreachable(batchId);
      case Result.Failed<CommitResult> failed -> new BatchEvent.OutcomeUnknown(batchId);
    };
  }

  /**
   * Reads a row. The result is a failure if the platform gave no usable answer; the future fails if
   * the row is malformed.
   */
  CompletableFuture<Result<Optional<StoredClaim>>> read(String key) {
    return callWithTimeout(deadlineMs -> tables.read(TABLE, key, deadlineMs))
        .thenApply(result -> result.map(row -> row.map(ClaimTable::toStoredClaim)));
  }

  /**
   * Reads the rows whose keys start with a prefix, by key. Leaves out malformed rows. The result is
   * a failure if the platform gave no usable answer.
   */
  CompletableFuture<Result<Map<String, StoredClaim>>> scan(String prefix) {
    return callWithTimeout(deadlineMs -> tables.scan(TABLE, prefix, deadlineMs))
        .thenApply(result -> result.map(ClaimTable::toReadableClaimsByKey));
  }

  private static Map<String, StoredClaim> toReadableClaimsByKey(List<Row> rows) {
    Map<String, StoredClaim> claims = new HashMap<>();
    for (Row row : rows) {
      try {
        claims.put(row.key(), toStoredClaim(row));
      } catch (MalformedClaimException e) {
        LOG.warn("claim_row_unreadable", "key", row.key(), "error", e.getMessage());
      }
    }
    return claims;
  }

  private static <T> CompletableFuture<T> callWithTimeout(
      Function<Long, CompletableFuture<T>> operation) {
    try {
      return operation.apply(ControlThread.nowMs() + CALL_TIMEOUT_MS);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Map<String, StoredClaim> toClaimsByKey(List<Row> rows) {
    Map<String, StoredClaim> claims = new HashMap<>();
    rows.forEach(row -> claims.put(row.key(), toStoredClaim(row)));
    return claims;
  }

  private static StoredClaim toStoredClaim(Row row) {
    try {
      return new StoredClaim(JSON.treeToValue(row.value(), ClaimRow.class), row.version());
    } catch (JsonProcessingException e) {
      throw new MalformedClaimException(row.key(), e);
    }
  }

  /** Thrown when a row is no claim. */
  private static final class MalformedClaimException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedClaimException(String key, JsonProcessingException cause) {
      super("malformed claim row " + key + ": " + cause.getOriginalMessage(), cause);
    }
  }
}
