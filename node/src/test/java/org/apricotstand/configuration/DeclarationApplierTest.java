package org.apricotstand.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.model.Result;
import org.apricotstand.revision.ApplyOutcome;
import org.junit.jupiter.api.Test;

class DeclarationApplierTest {

  private final FakePlatform platform = new FakePlatform(new Random(1));
  private final DeclarationApplier applier =
      new DeclarationApplier(platform, platform, () -> 0, dueMs -> {});

  private static DeclarationSet set(int weightOfA, int weightOfB) {
    List<Adapter> adapters =
        List.of(
            new Adapter("a", "base", List.of("v1"), Map.of("v1", weightOfA), null, null, null),
            new Adapter("b", "base", List.of("v1"), Map.of("v1", weightOfB), null, null, null));
    return new DeclarationSet(List.of(new Model("base")), adapters, null, null, null, null);
  }

  private ApplyOutcome apply(DeclarationSet set, String nonce, OptionalLong base) {
    return applier.apply(set, nonce, base);
  }

  // Guards against a change that silently overwrites a newer one which its author had not seen.
  @Test
  void changeOfOlderBaseConflictsAndListsFieldsChangedInBoth() {
    assertThat(apply(set(1, 1), "n1", OptionalLong.empty()))
        .isEqualTo(new ApplyOutcome.Accepted(1));
    assertThat(apply(set(2, 1), "n2", OptionalLong.of(1))).isEqualTo(new ApplyOutcome.Accepted(2));
    DeclarationSet outdated = set(3, 9);
    ApplyOutcome outcome = apply(outdated, "n3", OptionalLong.of(1));
    assertThat(outcome).isInstanceOf(ApplyOutcome.Conflict.class);
    ApplyOutcome.Conflict conflict = (ApplyOutcome.Conflict) outcome;
    assertThat(conflict.other().revision()).isEqualTo(2);
    assertThat(conflict.base().orElseThrow().revision()).isEqualTo(1);
    assertThat(applier.conflictingFields(outdated, conflict))
        .isEqualTo(Result.ok(List.of("adapters.a.route.v1")));
    assertThat(platform.acceptedRevisions).hasSize(2);
  }

  // Guards against creating a new revision for unchanged content, which every instance would fetch.
  @Test
  void sameContentCreatesNoRevision() {
    apply(set(1, 1), "n1", OptionalLong.empty());
    assertThat(apply(set(1, 1), "n2", OptionalLong.empty()))
        .isEqualTo(new ApplyOutcome.Unchanged(1));
    assertThat(platform.acceptedRevisions).hasSize(1);
  }

  // Guards against a program that applies a set without reading it from files, and with it an error
  // or an empty set that every instance would have to refuse or serve nothing by.
  @Test
  void setWithErrorsIsRefusedBeforeThePlatformIsCalled() {
    DeclarationSet unknownModel =
        new DeclarationSet(null, set(1, 1).adapters(), null, null, null, null);
    for (DeclarationSet set : List.of(DeclarationSet.empty(), unknownModel)) {
      ApplyOutcome outcome = apply(set, "n1", OptionalLong.empty());
      assertThat(outcome).isInstanceOf(ApplyOutcome.Refused.class);
      assertThat(((ApplyOutcome.Refused) outcome).failure().code())
          .isEqualTo("invalid_declarations");
    }
    assertThat(platform.acceptedRevisions).isEmpty();
  }

  // Guards against a hash that depends on the iteration order of a map, and against fields that are
  // missing from the stored form.
  @Test
  void contentHashIsStableAndContentIsComplete() {
    Map<String, Integer> route = new java.util.LinkedHashMap<>();
    Map<String, Integer> reversed = new java.util.LinkedHashMap<>();
    List<String> versions = IntStream.range(0, 20).mapToObj(i -> "v" + i).toList();
    versions.forEach(version -> route.put(version, 1));
    versions.reversed().forEach(version -> reversed.put(version, 1));
    DeclarationContent first = DeclarationContent.encode(with(versions, route));
    assertThat(first.hash()).isEqualTo(DeclarationContent.encode(with(versions, reversed)).hash());
    assertThat(DeclarationContent.decode(first.hash(), first.bytes()))
        .isEqualTo(Result.ok(with(versions, route)));
  }

  private static DeclarationSet with(List<String> versions, Map<String, Integer> route) {
    Adapter adapter =
        new Adapter(
            "a",
            "base",
            versions,
            route,
            "background",
            2,
            true,
            new DeclarationSet.Shift("v1", 2.5),
            0.0,
            4);
    return new DeclarationSet(
        List.of(new Model("base")),
        List.of(adapter),
        List.of(new DeclarationSet.Alias("x", "a")),
        List.of(new DeclarationSet.PlainService("s", "/s", false, null, "/id")),
        List.of(
            new DeclarationSet.Target("s1", "service", "s", "d", "10.0.0.1:80", "ignored", 0, 0)),
        new DeclarationSet.Policy(0.0, 1.0, 2, 3L, 0L, 5, 6, 0.0));
  }

  // Guards against activating content that was damaged in transit.
  @Test
  void damagedContentIsRejected() {
    DeclarationContent content = DeclarationContent.encode(set(1, 1));
    DeclarationContent other = DeclarationContent.encode(set(2, 1));
    byte[] truncated = java.util.Arrays.copyOf(content.bytes(), content.bytes().length - 9);
    assertThat(DeclarationContent.decode(content.hash(), truncated))
        .isInstanceOf(Result.Failed.class);
    assertThat(DeclarationContent.decode(content.hash(), other.bytes()))
        .isInstanceOf(Result.Failed.class);
  }
}
