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
import org.apricotstand.platform.TableService;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;

/** Reads and writes claim rows in the table service. Futures never fail. */
final class ClaimTable {

  private static final String TABLE = "claims";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The store usually answers within milliseconds; a repeat of the write is safe after it. */
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final TableService tables;

  ClaimTable(TableService tables) {
    this.tables = tables;
  }

  /** Commits writes of distinct rows and returns the event for the batcher. */
  CompletableFuture<BatchEvent> commit(long batchId, List<ClaimWrite> writes) {
    Transaction transaction =
        new Transaction(
            writes.stream()
                .map(write -> new Condition(TABLE, write.key(), write.expectedVersion()))
                .toList(),
            writes.stream()
                .map(write -> new Write(TABLE, write.key(), JSON.valueToTree(contentOf(write))))
                .toList());
    return call(deadlineMs -> tables.commit(transaction, deadlineMs))
        .handle(
            (result, error) ->
                error != null ? new BatchEvent.Lost(batchId) : eventOf(batchId, result))
        .exceptionally(error -> new BatchEvent.Lost(batchId));
  }

  private static ClaimRow contentOf(ClaimWrite write) {
    return write.row().orElse(null);
  }

  private static BatchEvent eventOf(long batchId, Result<CommitResult> result) {
    return switch (result) {
      case Result.Ok<CommitResult>(CommitResult.Committed(List<Long> versions)) ->
          new BatchEvent.Committed(batchId, versions);
      case Result.Ok<CommitResult>(CommitResult.Conflict(List<Row> rows)) ->
          new BatchEvent.Conflicted(batchId, byKey(rows));
      case Result.Failed<CommitResult>(Failure failure)
          when failure.code().equals(TableService.UNREACHABLE) ->
          new BatchEvent.Unreachable(batchId);
      case Result.Failed<CommitResult> failed -> new BatchEvent.Lost(batchId);
    };
  }

  /** Reads a row; fails when the platform gave no usable answer. */
  CompletableFuture<Result<Optional<StoredClaim>>> read(String key) {
    return call(deadlineMs -> tables.read(TABLE, key, deadlineMs))
        .thenApply(result -> result.map(row -> row.map(ClaimTable::stored)));
  }

  /** Reads the rows whose keys start with a prefix. */
  CompletableFuture<Result<Map<String, StoredClaim>>> scan(String prefix) {
    return call(deadlineMs -> tables.scan(TABLE, prefix, deadlineMs))
        .thenApply(result -> result.map(ClaimTable::byKey));
  }

  private static <T> CompletableFuture<T> call(Function<Long, CompletableFuture<T>> operation) {
    try {
      return operation.apply(ControlThread.nowMs() + CALL_TIMEOUT_MS);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Map<String, StoredClaim> byKey(List<Row> rows) {
    Map<String, StoredClaim> claims = new HashMap<>();
    rows.forEach(row -> claims.put(row.key(), stored(row)));
    return claims;
  }

  private static StoredClaim stored(Row row) {
    try {
      return new StoredClaim(JSON.treeToValue(row.value(), ClaimRow.class), row.version());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("malformed claim row " + row.key(), e);
    }
  }
}
