package org.apricotstand.port;

import java.util.List;
import org.apricotstand.dispatch.TargetEntry;

/** Receives the list of targets on the control thread. */
public interface TargetListener {

  /** Called with the whole list at each change. */
  void onTargets(List<TargetEntry> targets);

  /** Called when the list can be read again after an outage; entries may have expired meanwhile. */
  void onStoreRecovered();
}
