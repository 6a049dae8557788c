package org.apricotstand.configuration;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.apricotstand.declaration.DeclarationDiff;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.FieldLocator.Position;
import org.apricotstand.declaration.check.DeclarationCheck;
import org.apricotstand.declaration.check.Finding;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.ObjectStore;
import org.apricotstand.platform.TableService;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;
import org.apricotstand.revision.AcceptedRevision;
import org.apricotstand.revision.ApplyAction;
import org.apricotstand.revision.ApplyEvent;
import org.apricotstand.revision.ApplyMachine;
import org.apricotstand.revision.ApplyOutcome;
import org.apricotstand.revision.HeadRow;

/**
 * Checks a set of declarations and applies it to the platform. Calls block the calling thread.
 *
 * <pre>{@code
 * DeclarationApplier applier = DeclarationApplier.withSystemClock(platform, platform);
 * ApplyOutcome outcome = applier.apply(set, nonce, OptionalLong.empty());
 * }</pre>
 */
public final class DeclarationApplier {

  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final long MAX_RETRY_TIME_MS = 20_000;

  private final TableService tables;
  private final ObjectStore objects;
  private final LongSupplier clockMs;
  private final LongConsumer waitUntilMs;

  /**
   * Creates an applier.
   *
   * @param clockMs returns the monotonic time
   * @param waitUntilMs blocks until the given monotonic time
   */
  public DeclarationApplier(
      TableService tables, ObjectStore objects, LongSupplier clockMs, LongConsumer waitUntilMs) {
    this.tables = tables;
    this.objects = objects;
    this.clockMs = clockMs;
    this.waitUntilMs = waitUntilMs;
  }

  /** Creates an applier that uses the monotonic clock of the system. */
  public static DeclarationApplier withSystemClock(TableService tables, ObjectStore objects) {
    return new DeclarationApplier(
        tables,
        objects,
        org.apricotstand.control.ControlThread::nowMs,
        DeclarationApplier::sleepUntil);
  }

  private static void sleepUntil(long dueMs) {
    try {
      Thread.sleep(Math.max(0, dueMs - org.apricotstand.control.ControlThread.nowMs()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Applies a set of declarations. A set with errors is refused before the platform is called;
   * warnings do not matter here, since the command that reads the files prints them.
   *
   * @param nonce random text, different for each call
   * @param base revision on which the change was based; the current one when absent
   */
  public ApplyOutcome apply(DeclarationSet set, String nonce, OptionalLong base) {
    Optional<Finding> error = findError(set);
    if (error.isPresent()) {
      return new ApplyOutcome.Refused(
          new Failure(
              Step.ADMISSION,
              "declarations",
              "invalid_declarations",
              error.get().field() + ": " + error.get().message()));
    }
    DeclarationContent content = DeclarationContent.encode(set);
    ApplyMachine machine =
        new ApplyMachine(content.hash(), nonce, base, clockMs.getAsLong() + MAX_RETRY_TIME_MS);
    ApplyAction action = machine.start(clockMs.getAsLong());
    while (!(action instanceof ApplyAction.Finish)) {
      ApplyEvent event = perform(action, content);
      action = machine.handle(event, clockMs.getAsLong());
    }
    return ((ApplyAction.Finish) action).outcome();
  }

  private static Optional<Finding> findError(DeclarationSet set) {
    return DeclarationCheck.check(set, path -> new Position("", 1, path)).stream()
        .filter(Finding::isError)
        .findFirst();
  }

  private ApplyEvent perform(ApplyAction action, DeclarationContent content) {
    return switch (action) {
      case ApplyAction.ReadHead(long dueMs) -> {
        waitUntilMs.accept(dueMs);
        yield switch (readHead()) {
          case Result.Ok<Optional<HeadRow>>(Optional<HeadRow> row) -> new ApplyEvent.HeadRead(row);
          case Result.Failed<Optional<HeadRow>>(Failure failure) ->
              new ApplyEvent.HeadUnreadable(failure);
        };
      }
      case ApplyAction.StoreContent(long dueMs) -> {
        waitUntilMs.accept(dueMs);
        yield switch (await(objects.put(content.hash(), content.bytes(), deadlineMs()))) {
          case Result.Ok<Void> ok -> new ApplyEvent.ContentStored();
          case Result.Failed<Void>(Failure failure) -> new ApplyEvent.ContentNotStored(failure);
        };
      }
      case ApplyAction.Commit commit -> {
        waitUntilMs.accept(commit.dueMs());
        yield commit(commit);
      }
      case ApplyAction.Finish finish -> throw new IllegalStateException("already finished");
    };
  }

  private ApplyEvent commit(ApplyAction.Commit commit) {
    Transaction transaction =
        new Transaction(
            List.of(new Condition(HeadRowCodec.TABLE, HeadRowCodec.KEY, commit.expectedVersion())),
            List.of(
                new Write(
                    HeadRowCodec.TABLE, HeadRowCodec.KEY, HeadRowCodec.encode(commit.newRow()))));
    return switch (await(tables.commit(transaction, deadlineMs()))) {
      case Result.Ok<CommitResult>(CommitResult.Committed committed) -> new ApplyEvent.Committed();
      case Result.Ok<CommitResult>(CommitResult.Conflict(List<Row> rows)) -> toConflictEvent(rows);
      case Result.Failed<CommitResult>(Failure failure)
          when failure.code().equals(TableService.UNREACHABLE) ->
          new ApplyEvent.CommitNotSent(failure);
      case Result.Failed<CommitResult>(Failure failure) ->
          new ApplyEvent.CommitOutcomeUnknown(failure);
    };
  }

  private static ApplyEvent toConflictEvent(List<Row> rows) {
    Optional<Row> row = rows.stream().findFirst();
    return switch (HeadRowCodec.decode(Result.ok(row))) {
      case Result.Ok<Optional<HeadRow>>(Optional<HeadRow> current) ->
          new ApplyEvent.Conflicted(current);
      case Result.Failed<Optional<HeadRow>>(Failure failure) ->
          new ApplyEvent.CommitOutcomeUnknown(failure);
    };
  }

  /** Reads the head row. */
  public Result<Optional<HeadRow>> readHead() {
    return HeadRowCodec.decode(
        await(tables.read(HeadRowCodec.TABLE, HeadRowCodec.KEY, deadlineMs())));
  }

  /** Reads and validates the declarations of an accepted revision. */
  public Result<DeclarationSet> readDeclarations(AcceptedRevision accepted) {
    return switch (await(objects.get(accepted.contentHash(), deadlineMs()))) {
      case Result.Failed<Optional<byte[]>>(Failure failure) -> Result.failed(failure);
      case Result.Ok<Optional<byte[]>>(Optional<byte[]> content) when content.isPresent() ->
          DeclarationContent.decode(accepted.contentHash(), content.get());
      case Result.Ok<Optional<byte[]>> absent ->
          Result.failed(
              new Failure(
                  Step.PLATFORM,
                  "object store",
                  "content_missing",
                  "no content of revision " + accepted.revision()));
    };
  }

  /** Returns the fields that both the change in conflict and the accepted revision changed. */
  public Result<List<String>> conflictingFields(
      DeclarationSet rejected, ApplyOutcome.Conflict conflict) {
    Result<DeclarationSet> base =
        conflict
            .base()
            .map(this::readDeclarations)
            .orElseGet(() -> Result.ok(DeclarationSet.empty()));
    return switch (base) {
      case Result.Failed<DeclarationSet>(Failure failure) -> Result.failed(failure);
      case Result.Ok<DeclarationSet>(DeclarationSet baseSet) ->
          readDeclarations(conflict.other())
              .map(acceptedSet -> DeclarationDiff.changedInBoth(baseSet, rejected, acceptedSet));
    };
  }

  private long deadlineMs() {
    return clockMs.getAsLong() + CALL_TIMEOUT_MS;
  }

  private static <T> Result<T> await(CompletableFuture<Result<T>> call) {
    return call.exceptionally(
            error ->
                Result.failed(
                    new Failure(
                        Step.PLATFORM, "platform", TableService.OUTCOME_UNKNOWN, error.toString())))
        .join();
  }
}
