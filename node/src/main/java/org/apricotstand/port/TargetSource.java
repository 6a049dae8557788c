package org.apricotstand.port;

import java.util.List;
import java.util.function.Consumer;
import org.apricotstand.dispatch.TargetEntry;

/** The list of targets. */
public interface TargetSource {

  /** Reports the whole list at each change; called on the control thread. */
  void follow(Consumer<List<TargetEntry>> listener);
}
