package org.apricotstand.suspect;

import java.util.Set;
import org.apricotstand.model.TargetId;

/** How a request may run. */
public sealed interface Verdict {

  /** Like any other. */
  record Free() implements Verdict {}

  /** Alone in its batch, on a target other than those that it crashed. */
  record Alone(Set<TargetId> crashed) implements Verdict {}

  /** Not now; it may be sent again after the given time. */
  record Refused(String code, long retryAfterMs) implements Verdict {}
}
