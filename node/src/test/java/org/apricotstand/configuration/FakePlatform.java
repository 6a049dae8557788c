package org.apricotstand.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.ObjectStore;
import org.apricotstand.platform.TableService;

/**
 * In-memory table service and object store that fail at random: a failed call has no effect, has
 * taken effect, or, for a commit, takes effect only during a later call.
 */
final class FakePlatform implements TableService, ObjectStore {

  final Map<String, byte[]> objects = new HashMap<>();
  final List<JsonNode> acceptedRevisions = new ArrayList<>();
  private final Random random;
  private final List<Transaction> delayedCommits = new ArrayList<>();
  private Row headRow;
  private long lastVersion;
  int faultPercent;

  /** Runs before each call, so that a test can apply a concurrent change. */
  Runnable beforeCall = () -> {};

  FakePlatform(Random random) {
    this.random = random;
  }

  void runDelayedCommits() {
    delayedCommits.forEach(this::runTransaction);
    delayedCommits.clear();
  }

  private boolean isFaultInjected() {
    return random.nextInt(100) < faultPercent;
  }

  private void beforeEachCall() {
    beforeCall.run();
    if (random.nextBoolean()) {
      runDelayedCommits();
    }
  }

  private static <T> CompletableFuture<Result<T>> failed(String code) {
    return CompletableFuture.completedFuture(
        Result.failed(new Failure(Step.PLATFORM, "fake", code, "fault")));
  }

  private static <T> CompletableFuture<Result<T>> ok(T value) {
    return CompletableFuture.completedFuture(Result.ok(value));
  }

  @Override
  public CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs) {
    beforeEachCall();
    if (isFaultInjected()) {
      return switch (random.nextInt(4)) {
        case 0 -> failed(UNREACHABLE);
        case 1 -> failed(OUTCOME_UNKNOWN);
        case 2 -> {
          delayedCommits.add(transaction);
          yield failed(OUTCOME_UNKNOWN);
        }
        default -> {
          runTransaction(transaction);
          yield failed(OUTCOME_UNKNOWN);
        }
      };
    }
    return ok(runTransaction(transaction));
  }

  private CommitResult runTransaction(Transaction transaction) {
    long version = headRow == null ? 0 : headRow.version();
    if (transaction.conditions().getFirst().version() != version) {
      return new CommitResult.Conflict(headRow == null ? List.of() : List.of(headRow));
    }
    JsonNode value = transaction.writes().getFirst().value();
    headRow = new Row(HeadRowCodec.TABLE, HeadRowCodec.KEY, ++lastVersion, value);
    acceptedRevisions.add(value);
    return new CommitResult.Committed(List.of(lastVersion));
  }

  @Override
  public CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs) {
    beforeEachCall();
    return isFaultInjected() ? failed(OUTCOME_UNKNOWN) : ok(Optional.ofNullable(headRow));
  }

  @Override
  public CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs) {
    beforeEachCall();
    boolean isFaulty = isFaultInjected();
    if (!isFaulty || random.nextBoolean()) {
      objects.put(key, content);
    }
    return isFaulty ? failed(OUTCOME_UNKNOWN) : ok(null);
  }

  @Override
  public CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs) {
    return isFaultInjected() ? failed(OUTCOME_UNKNOWN) : ok(Optional.ofNullable(objects.get(key)));
  }
}
