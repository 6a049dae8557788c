package org.apricotstand.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/** Port to the object store. Futures never fail; what goes wrong is in the result. */
public interface ObjectStore {

  /** Stores an object; storing the same content again has no further effect. */
  CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs);

  /** Reads an object. */
  CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs);
}
