package org.apricotstand.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/** Stores rows in tables that outlive all instances. */
public interface RowStore {

  /** Reads all rows of a table. The future fails when the service gives no complete answer. */
  CompletableFuture<List<Row>> readAll(String table);

  /** Applies all writes or none. The future never completes exceptionally. */
  CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes);

  /**
   * Adds a listener for each era of the service that is later than all before, see {@link
   * org.apricotstand.model.StoreVersion}. It is called on any thread, before the first answer of
   * the era is delivered.
   */
  default void addEraListener(LongConsumer listener) {}

  /** Records that another instance has seen an era. */
  default void recordEra(long era) {}
}
