package org.apricotstand.port;

import java.util.List;
import java.util.Set;
import org.apricotstand.dispatch.TargetEntry;

/** Receives the list of targets on the control thread. */
public interface TargetListener {

  /**
   * Called with the whole list at each change.
   *
   * @param expiredIds ids of entries that are gone since the last call and may have expired; the
   *     targets of other entries that are gone have left
   */
  void onTargets(List<TargetEntry> targets, Set<String> expiredIds);

  /** Called when the list can be read again after an outage; entries may have expired meanwhile. */
  void onStoreRecovered();
}
