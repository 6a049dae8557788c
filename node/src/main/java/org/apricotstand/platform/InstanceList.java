package org.apricotstand.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/** Port to the platform's list of live and leaving instances and targets, which lags. */
public interface InstanceList {

  /**
   * An entry of the list.
   *
   * @param name name of an entry instance or of a target
   * @param kind "instance" or "target"
   * @param incarnation number that is new at every start; 0 when the platform does not know it
   * @param domain failure domain
   * @param address IP number and port of the peer link or of the target
   * @param leaving whether it is being removed
   */
  record Listed(
      String name, String kind, long incarnation, String domain, String address, boolean leaving) {}

  /** Reads the list. */
  CompletableFuture<Result<List<Listed>>> list(long deadlineMs);

  /** Tells the platform that this instance runs; repeated while it does. */
  CompletableFuture<Result<Void>> announce(Listed self, long deadlineMs);
}
