package org.apricotstand.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Tables that outlive all instances. */
public interface RowStore {

  /** Reads all rows of a table; fails when the service gives no whole answer. */
  CompletableFuture<List<Row>> readAll(String table);

  /** Applies all writes or none; never fails exceptionally. */
  CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes);
}
