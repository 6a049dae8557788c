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
 * Table service and object store in memory that fail at random: before a call takes effect, after
 * it did, or with the effect of a commit delayed until a later call.
 */
final class FakePlatform implements TableService, ObjectStore {

  final Map<String, byte[]> objects = new HashMap<>();
  final List<JsonNode> heads = new ArrayList<>();
  private final Random random;
  private final List<Transaction> delayed = new ArrayList<>();
  private Row head;
  private long lastVersion;
  int faultPercent;

  /** Runs before each call, so that another operator can come in between. */
  Runnable beforeCall = () -> {};

  FakePlatform(Random random) {
    this.random = random;
  }

  void deliverDelayed() {
    delayed.forEach(this::run);
    delayed.clear();
  }

  private boolean faulty() {
    return random.nextInt(100) < faultPercent;
  }

  private void arrive() {
    beforeCall.run();
    if (random.nextBoolean()) {
      deliverDelayed();
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
    arrive();
    if (faulty()) {
      return switch (random.nextInt(4)) {
        case 0 -> failed(UNREACHABLE);
        case 1 -> failed(OUTCOME_UNKNOWN);
        case 2 -> {
          delayed.add(transaction);
          yield failed(OUTCOME_UNKNOWN);
        }
        default -> {
          run(transaction);
          yield failed(OUTCOME_UNKNOWN);
        }
      };
    }
    return ok(run(transaction));
  }

  private CommitResult run(Transaction transaction) {
    long version = head == null ? 0 : head.version();
    if (transaction.conditions().getFirst().version() != version) {
      return new CommitResult.Conflict(head == null ? List.of() : List.of(head));
    }
    JsonNode value = transaction.writes().getFirst().value();
    head = new Row(HeadRows.TABLE, HeadRows.KEY, ++lastVersion, value);
    heads.add(value);
    return new CommitResult.Committed(List.of(lastVersion));
  }

  @Override
  public CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs) {
    arrive();
    return faulty() ? failed(OUTCOME_UNKNOWN) : ok(Optional.ofNullable(head));
  }

  @Override
  public CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs) {
    arrive();
    boolean faulty = faulty();
    if (!faulty || random.nextBoolean()) {
      objects.put(key, content);
    }
    return faulty ? failed(OUTCOME_UNKNOWN) : ok(null);
  }

  @Override
  public CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs) {
    return faulty() ? failed(OUTCOME_UNKNOWN) : ok(Optional.ofNullable(objects.get(key)));
  }
}
