package org.apricotstand.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.Result;

/**
 * Access to the list of live and draining instances and targets that the platform keeps. The list
 * may be out of date.
 */
public interface InstanceList {

  /**
   * An instance or a target in the list.
   *
   * @param name name of the instance or target
   * @param kind "instance" or "target"
   * @param incarnation number that differs for each start; 0 if the platform does not know it
   * @param domain failure domain
   * @param address IP address and port at which peers reach the instance, or of the target
   * @param leaving whether it is draining and gets no new work
   */
  record ListEntry(
      String name, String kind, long incarnation, String domain, String address, boolean leaving) {}

  /** Reads the list. */
  CompletableFuture<Result<List<ListEntry>>> list(long deadlineMs);

  /** Registers this instance in the list; must be repeated while the instance runs. */
  CompletableFuture<Result<Void>> announce(ListEntry self, long deadlineMs);
}
