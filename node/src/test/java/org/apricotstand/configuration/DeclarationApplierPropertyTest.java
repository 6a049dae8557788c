package org.apricotstand.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.model.Result;
import org.apricotstand.revision.ApplyOutcome;

class DeclarationApplierPropertyTest {

  private long nowMs = 1_000;

  private DeclarationApplier applier(FakePlatform platform) {
    return new DeclarationApplier(
        platform,
        platform,
        () -> nowMs += 10,
        dueMs -> {
          nowMs = Math.max(nowMs, dueMs);
        });
  }

  private static DeclarationSet set(String model) {
    return new DeclarationSet(List.of(new Model(model)), null, null, null, null, null);
  }

  private static long timesAccepted(FakePlatform platform, String nonce) {
    return platform.acceptedRevisions.stream()
        .map(head -> head.path("nonce").asText())
        .filter(nonce::equals)
        .count();
  }

  // Guards against a change that is reported as accepted without taking effect, reported as refused
  // but takes effect later, takes effect twice, or decreases the revision number.
  @Property(seed = "4401", tries = 400)
  void outcomeMatchesEffectUnderFaults(
      @ForAll long seed, @ForAll @IntRange(max = 95) int faultPercent) {
    FakePlatform platform = new FakePlatform(new Random(seed));
    Random random = new Random(seed + 1);
    List<ApplyOutcome> outcomes = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      platform.faultPercent = faultPercent;
      platform.beforeCall = applyOnceDuringCalls(platform, random, "other-" + i);
      outcomes.add(applier(platform).apply(set("m" + i), "mine-" + i, OptionalLong.empty()));
    }
    platform.runDelayedCommits();
    for (int i = 0; i < outcomes.size(); i++) {
      long acceptedCount = timesAccepted(platform, "mine-" + i);
      switch (outcomes.get(i)) {
        case ApplyOutcome.Accepted accepted -> assertThat(acceptedCount).isEqualTo(1);
        case ApplyOutcome.Unknown unknown -> assertThat(acceptedCount).isAtMost(1);
        default -> assertWithMessage("%s", outcomes.get(i)).that(acceptedCount).isEqualTo(0);
      }
    }
    assertThatRevisionsAreConsecutiveAndStored(platform);
  }

  /** Returns a hook that applies another set, without faults, before one randomly chosen call. */
  private Runnable applyOnceDuringCalls(FakePlatform platform, Random random, String nonce) {
    int[] remainingCalls = {random.nextInt(12)};
    return () -> {
      if (remainingCalls[0]-- == 0) {
        Runnable hook = platform.beforeCall;
        int previousPercent = platform.faultPercent;
        platform.beforeCall = () -> {};
        platform.faultPercent = 0;
        applier(platform).apply(set(nonce), nonce, OptionalLong.empty());
        platform.faultPercent = previousPercent;
        platform.beforeCall = hook;
      }
    };
  }

  private static void assertThatRevisionsAreConsecutiveAndStored(FakePlatform platform) {
    for (int i = 0; i < platform.acceptedRevisions.size(); i++) {
      JsonNode head = platform.acceptedRevisions.get(i);
      assertThat(head.path("revision").asLong()).isEqualTo(i + 1L);
      String hash = head.path("contentHash").asText();
      assertThat(DeclarationContent.decode(hash, platform.objects.get(hash)))
          .isInstanceOf(Result.Ok.class);
    }
  }

  // Guards against two concurrent changes that are both reported as accepted, and against a change
  // in conflict that is not reported as such.
  @Property(seed = "4402", tries = 100)
  void exactlyOneOfTwoConcurrentChangesIsAccepted(
      @ForAll long seed, @ForAll @IntRange(max = 2) int call) {
    FakePlatform platform = new FakePlatform(new Random(seed));
    DeclarationApplier second = applier(platform);
    List<ApplyOutcome> outcomeOfOther = new ArrayList<>();
    int[] remainingCalls = {call + 1};
    platform.beforeCall =
        () -> {
          if (--remainingCalls[0] == 0) {
            outcomeOfOther.add(second.apply(set("theirs"), "theirs", OptionalLong.of(0)));
          }
        };
    ApplyOutcome mine = applier(platform).apply(set("mine"), "mine", OptionalLong.of(0));
    assertThat(outcomeOfOther).containsExactly(new ApplyOutcome.Accepted(1));
    assertThat(mine).isInstanceOf(ApplyOutcome.Conflict.class);
    ApplyOutcome.Conflict conflict = (ApplyOutcome.Conflict) mine;
    assertThat(conflict.other().nonce()).isEqualTo("theirs");
    assertThat(conflict.other().revision()).isEqualTo(1);
    assertThat(platform.acceptedRevisions).hasSize(1);
  }
}
