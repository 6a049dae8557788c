package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.placement.Placement;
import org.apricotstand.placement.PlacementPolicy;
import org.junit.jupiter.api.Test;

class EngineChooserTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");

  private final Set<TargetId> leaving = new HashSet<>();
  private final EngineChooser chooser =
      new EngineChooser(
          new ControlThread(),
          new Placement(new PlacementPolicy.Affinity(), new SplittableRandom(1)),
          leaving::contains);

  /** Guards against new requests to an engine that is being removed. */
  @Test
  void skipsLeavingEngines() {
    Revision revision = revision(1, "e1", "e2", "e3");
    for (int remaining = 3; remaining > 0; remaining--) {
      TargetId chosen = chooser.choose(A, "base", revision, id -> true).orElseThrow();
      assertThat(leaving.add(chosen)).isTrue();
    }
    assertThat(chooser.choose(A, "base", revision, id -> true)).isEmpty();
  }

  /** Guards against choosing engines of an earlier revision or engines of another model. */
  @Test
  void choosesAmongEnginesOfRevisionAndModel() {
    chooser.recordEngineState(new PeerMessage.TargetLoad("e1", 0, 0, List.of("a@v1")));
    assertThat(chooser.choose(A, "base", revision(1, "e1", "e2"), id -> true))
        .hasValue(new TargetId("e1"));
    assertThat(chooser.choose(A, "base", revision(2, "e3"), id -> true))
        .hasValue(new TargetId("e3"));
    assertThat(chooser.choose(A, "other", revision(2, "e3"), id -> true)).isEmpty();
  }

  private static Revision revision(long number, String... engines) {
    List<Target> targets =
        List.of(engines).stream()
            .map(name -> new Target(name, "engine", "base", "d", "", "enforced", 4, 8))
            .toList();
    return new Revision(number, new DeclarationSet(null, null, null, null, targets, null));
  }
}
