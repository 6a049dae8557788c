package org.apricotstand.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.TableService;

/** Table service with a fixed list of rows, which records the transactions that it gets. */
final class FakeTables implements TableService {

  final List<Row> rows = new ArrayList<>();
  final List<Transaction> transactions = new ArrayList<>();
  boolean losesAnswers;

  @Override
  public CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs) {
    transactions.add(transaction);
    List<Long> versions = transaction.writes().stream().map(write -> 1L).toList();
    return CompletableFuture.completedFuture(
        losesAnswers ? failed() : Result.ok(new CommitResult.Committed(versions)));
  }

  private static Result<CommitResult> failed() {
    return Result.failed(new Failure(Step.CLAIM, "tables", OUTCOME_UNKNOWN, "answer lost"));
  }

  @Override
  public CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs) {
    Optional<Row> found = rows.stream().filter(row -> row.key().equals(key)).findFirst();
    return CompletableFuture.completedFuture(Result.ok(found));
  }

  @Override
  public CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs) {
    List<Row> found = rows.stream().filter(row -> row.key().startsWith(prefix)).toList();
    return CompletableFuture.completedFuture(Result.ok(found));
  }
}
