package org.apricotstand.port;

import java.util.List;
import org.apricotstand.dispatch.TargetEntry;

/** Receives the list of targets on the control thread. */
public interface TargetListener {

  /** The whole list, at each change. */
  void onTargets(List<TargetEntry> targets);

  /** The list is read again after it could not be; entries may have lapsed meanwhile. */
  void onRegained();
}
