package org.apricotstand.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.lease.LeaseRow;
import org.apricotstand.lease.OwnershipAction;
import org.apricotstand.lease.OwnershipEvent;
import org.apricotstand.lease.Versioned;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.platform.TableService;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;

/** Executes the store calls of the ownership machine and answers each with exactly one event. */
final class StoreCallExecutor {

  /** Shorter than the interval between renewals, so that a lost answer delays none of them. */
  private static final long CALL_TIMEOUT_MS = 2_500;

  private final TableService tables;
  private final Consumer<OwnershipEvent> eventConsumer;

  StoreCallExecutor(TableService tables, Consumer<OwnershipEvent> eventConsumer) {
    this.tables = tables;
    this.eventConsumer = eventConsumer;
  }

  void write(OwnershipAction.WriteLease action) {
    String key = action.row().holder().value();
    commit(
        action.callId(),
        new Transaction(
            List.of(new Condition(RowCodec.LEASES, key, action.expectedVersion())),
            List.of(new Write(RowCodec.LEASES, key, RowCodec.encode(action.row())))));
  }

  void write(OwnershipAction.WriteOwner action) {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    if (action.voidedLease().isPresent()) {
      Versioned<LeaseRow> lease = action.voidedLease().get();
      String holder = lease.row().holder().value();
      conditions.add(new Condition(RowCodec.LEASES, holder, lease.version()));
      writes.add(new Write(RowCodec.LEASES, holder, RowCodec.encode(lease.row())));
    }
    String target = action.row().target().value();
    conditions.add(new Condition(RowCodec.OWNERS, target, action.expectedVersion()));
    writes.add(new Write(RowCodec.OWNERS, target, RowCodec.encode(action.row())));
    commit(action.callId(), new Transaction(conditions, writes));
  }

  private void commit(long callId, Transaction transaction) {
    tables
        .commit(transaction, deadlineMs())
        .thenAccept(
            result ->
                eventConsumer.accept(
                    switch (result) {
                      case Result.Ok<CommitResult>(CommitResult.Committed committed) ->
                          new OwnershipEvent.Committed(callId, committed.versions());
                      case Result.Ok<CommitResult>(CommitResult.Conflict conflict) ->
                          new OwnershipEvent.Conflicted(callId);
                      case Result.Failed<CommitResult>(Failure failure) ->
                          callFailed(callId, failure);
                    }));
  }

  void read(OwnershipAction.ReadLease action) {
    tables
        .read(RowCodec.LEASES, action.holder().value(), deadlineMs())
        .thenAccept(
            result ->
                eventConsumer.accept(
                    switch (result) {
                      case Result.Ok<Optional<Row>>(Optional<Row> row) ->
                          new OwnershipEvent.LeaseRead(action.callId(), RowCodec.decodeLease(row));
                      case Result.Failed<Optional<Row>>(Failure failure) ->
                          callFailed(action.callId(), failure);
                    }));
  }

  void read(OwnershipAction.ReadOwner action) {
    tables
        .read(RowCodec.OWNERS, action.target().value(), deadlineMs())
        .thenAccept(
            result ->
                eventConsumer.accept(
                    switch (result) {
                      case Result.Ok<Optional<Row>>(Optional<Row> row) ->
                          new OwnershipEvent.OwnerRead(action.callId(), RowCodec.decodeOwner(row));
                      case Result.Failed<Optional<Row>>(Failure failure) ->
                          callFailed(action.callId(), failure);
                    }));
  }

  private static OwnershipEvent callFailed(long callId, Failure failure) {
    return new OwnershipEvent.CallFailed(callId, !failure.code().equals(TableService.UNREACHABLE));
  }

  private static long deadlineMs() {
    return ControlThread.nowMs() + CALL_TIMEOUT_MS;
  }
}
