package org.apricotstand.placement;

import java.util.Collection;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/** Chooses the engine that should serve an adapter version. */
public final class Placement {

  /** Returns the chosen engine, or nothing when no engine serves the model. */
  public Optional<TargetId> choose(
      AdapterVersion adapterVersion, Collection<Target> engines, long nowMs) {
    return Rendezvous.rank(adapterVersion.toString(), engines, Target::name).stream()
        .findFirst()
        .map(target -> new TargetId(target.name()));
  }
}
