package org.apricotstand.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Stores rows in tables that outlive all instances. */
public interface RowStore {

  /** Reads all rows of a table. The future fails when the service gives no complete answer. */
  CompletableFuture<List<Row>> readAll(String table);

  /** Applies all writes or none. The future never completes exceptionally. */
  CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes);
}
