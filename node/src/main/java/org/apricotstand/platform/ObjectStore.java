package org.apricotstand.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/**
 * Access to the object store of the platform. Futures never complete exceptionally; failures are
 * part of the result.
 */
public interface ObjectStore {

  /** Stores an object. Storing the same content again has no further effect. */
  CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs);

  /** Reads an object; empty if there is none with this key. */
  CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs);
}
