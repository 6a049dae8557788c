package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.apricotstand.suspect.CrashSuspects.RefusalReport;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {

  private static final Trait HARMFUL = new Trait.PromptPart("harmful");
  private static final Trait FIRST = new Trait.PromptPart("first");
  private static final Trait SUBJECT = new Trait.PromptPart("subject");
  private static final Trait ADAPTER = new Trait.Adapter("m/a1");

  private final CrashSuspects suspects = new CrashSuspects();

  private static Trait request(String fingerprint) {
    return new Trait.WholeRequest(fingerprint);
  }

  private void crash(String target, long nowMs, Trait... traits) {
    Map<Trait, Integer> requestsByTrait = new LinkedHashMap<>();
    Stream.of(traits).forEach(trait -> requestsByTrait.merge(trait, 1, Integer::sum));
    suspects.recordCrash(target, requestsByTrait, nowMs);
  }

  private boolean isRefused(Trait trait, long nowMs) {
    return suspects.findRefused(List.of(trait), nowMs).isPresent();
  }

  // Guards against a request that is retried through several instances and crashes one target after
  // the other.
  @Test
  void refusesARequestAfterCrashesOfTwoTargets() {
    crash("t1#1", 0, request("f"));
    assertThat(isRefused(request("f"), 1)).isFalse();
    crash("t2#1", 2, request("f"));
    assertThat(isRefused(request("f"), 3)).isTrue();
    assertThat(isRefused(request("g"), 3)).isFalse();
  }

  // Guards against a harmless request that is refused because two instances report one crash.
  @Test
  void crashReportedTwiceCountsOnce() {
    crash("t1#1", 0, request("f"));
    crash("t1#1", 1, request("f"));
    assertThat(isRefused(request("f"), 2)).isFalse();
  }

  // Guards against a second attempt of a request that may have crashed one target already.
  @Test
  void suspectsTheRequestsOfACrashUntilItExpires() {
    assertThat(suspects.isSuspected(List.of(request("f")), 0)).isFalse();
    crash("t1#1", 0, request("f"));
    assertThat(suspects.isSuspected(List.of(request("g"), request("f")), 1)).isTrue();
    assertThat(suspects.isSuspected(List.of(request("g")), 1)).isFalse();
    assertThat(suspects.isSuspected(List.of(request("f")), CrashSuspects.CRASH_RETENTION_MS))
        .isFalse();
  }

  @Test
  void crashesExpire() {
    crash("t1#1", 0, request("f"));
    crash("t2#1", 0, request("f"));
    assertThat(isRefused(request("f"), CrashSuspects.CRASH_RETENTION_MS)).isFalse();
  }

  // Guards against memory use that grows with every request that ran on a crashed target.
  @Test
  void keepsABoundedNumberOfTraits() {
    for (int i = 0; i <= CrashSuspects.MAX_SUSPECTED; i++) {
      crash("t1#1", i, request("f" + i));
      crash("t2#1", i, request("f" + i));
    }
    assertThat(isRefused(request("f0"), 5_000)).isFalse();
    assertThat(isRefused(request("f" + CrashSuspects.MAX_SUSPECTED), 5_000)).isTrue();
  }

  // Guards against requests that share only one part of their prompts and crash one target after
  // the
  // other, because each of them is blamed for one crash only.
  @Test
  void refusesThePartThatDifferentRequestsShare() {
    for (int i = 1; i <= 3; i++) {
      assertThat(isRefused(HARMFUL, 1_000 * i)).isFalse();
      crash("t" + i + "#1", 1_000 * i, HARMFUL, request("f" + i));
    }
    assertThat(isRefused(HARMFUL, 3_001)).isTrue();
  }

  @Test
  void refusesAnAdapterThatCrashesEachTarget() {
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 1_000 * i, ADAPTER, request("f" + i));
    }
    assertThat(isRefused(ADAPTER, 3_001)).isTrue();
  }

  // Guards against refusing sound requests that share their other parts with the harmful ones.
  @Test
  void refusesOnlyThePartWithoutAnswers() {
    suspects.recordAnswer(FIRST, 0);
    suspects.recordAnswer(SUBJECT, 0);
    for (int i = 1; i <= 5; i++) {
      crash("t" + i + "#1", 1_000 * i, FIRST, SUBJECT, HARMFUL);
    }
    assertThat(isRefused(HARMFUL, 6_000)).isTrue();
    assertThat(isRefused(FIRST, 6_000)).isFalse();
    assertThat(isRefused(SUBJECT, 6_000)).isFalse();
  }

  // Guards against refusing the beginning of many prompts at an instance that has just started and
  // has seen no answer yet.
  @Test
  void ofPartsWithoutAnswersRefusesTheOneInTheFewestRequests() {
    for (int i = 1; i <= 4; i++) {
      suspects.recordCrash("t" + i + "#1", Map.of(FIRST, 7, SUBJECT, 2, HARMFUL, 1), 1_000 * i);
    }
    assertThat(isRefused(HARMFUL, 5_000)).isTrue();
    assertThat(isRefused(FIRST, 5_000)).isFalse();
    assertThat(isRefused(SUBJECT, 5_000)).isFalse();
  }

  // Guards against refusing what most requests have in common when the targets of a rack fail
  // together: no target is left then whose answer could clear it.
  @Test
  void targetsThatFailTogetherCountOnceForSharedTraits() {
    for (int i = 1; i <= 6; i++) {
      crash("t" + i + "#1", 10 * i, FIRST, ADAPTER);
    }
    assertThat(isRefused(FIRST, 1_000)).isFalse();
    assertThat(isRefused(ADAPTER, 1_000)).isFalse();
  }

  // Guards against a trait that is blamed for crashes long before and after it was answered.
  @Test
  void anAnswerClearsATrait() {
    crash("t1#1", 0, SUBJECT);
    crash("t2#1", 1_000, SUBJECT);
    assertThat(suspects.recordAnswer(SUBJECT, 1_500)).isTrue();
    crash("t3#1", 2_000, SUBJECT);
    assertThat(isRefused(SUBJECT, 2_001)).isFalse();
  }

  // Guards against a refusal by mistake that lasts although another instance gets answers.
  @Test
  void anAnswerEndsTheRefusal() {
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 1_000 * i, SUBJECT);
    }
    assertThat(isRefused(SUBJECT, 3_001)).isTrue();
    assertThat(suspects.recordAnswer(SUBJECT, 4_000)).isTrue();
    assertThat(isRefused(SUBJECT, 4_001)).isFalse();
  }

  // Guards against refusing the beginning of most prompts while the report that has the cause of
  // the
  // last crash is still on its way.
  @Test
  void aTraitThatWasAnsweredAMomentAgoIsNotRefused() {
    suspects.recordAnswer(FIRST, 0);
    crash("t1#1", 200, FIRST, HARMFUL);
    crash("t2#1", 400, FIRST, HARMFUL);
    crash("t3#1", 600, FIRST);
    assertThat(isRefused(FIRST, 601)).isFalse();
    crash("t3#1", 610, FIRST, HARMFUL);
    assertThat(isRefused(HARMFUL, 611)).isTrue();
    assertThat(isRefused(FIRST, 611)).isFalse();
  }

  // Guards against a trait that is never refused because it was harmless once.
  @Test
  void aTraitThatTurnsHarmfulIsRefusedWhenAnswersStayAway() {
    suspects.recordAnswer(SUBJECT, 0);
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 2_000 * i, SUBJECT);
    }
    assertThat(isRefused(SUBJECT, 6_001)).isTrue();
  }

  // Guards against telling the whole fleet of every answer.
  @Test
  void anAnswerToATraitAtOneCrashIsNoNews() {
    crash("t1#1", 0, SUBJECT);
    assertThat(suspects.recordAnswer(SUBJECT, 1)).isFalse();
    assertThat(suspects.recordAnswer(FIRST, 1)).isFalse();
  }

  // Guards against the repeats of a few callers, each refused as a request of its own, that hide
  // what
  // the requests have in common.
  @Test
  void refusedRequestsDoNotHideThePartThatTheyShare() {
    crash("t1#1", 1_000, HARMFUL, request("f"));
    crash("t2#1", 2_000, HARMFUL, request("f"));
    crash("t3#1", 3_000, HARMFUL, request("g"));
    assertThat(isRefused(request("f"), 3_001)).isTrue();
    assertThat(isRefused(HARMFUL, 3_001)).isTrue();
  }

  // Guards against refusing parts of a prompt because one harmful request came again and again.
  @Test
  void oneRequestAtAllCrashesExplainsThem() {
    for (int i = 1; i <= 4; i++) {
      crash("t" + i + "#1", 1_000 * i, SUBJECT, request("f"));
    }
    assertThat(isRefused(request("f"), 5_000)).isTrue();
    assertThat(isRefused(SUBJECT, 5_000)).isFalse();
  }

  // Guards against a harmful part that crashes as many targets after each refusal as before it.
  @Test
  void oneCrashAfterARefusalRefusesForTwiceTheTime() {
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 1_000 * i, HARMFUL);
    }
    long firstEndMs = 3_000 + CrashSuspects.CRASH_RETENTION_MS;
    assertThat(isRefused(HARMFUL, firstEndMs)).isFalse();
    crash("t9#1", firstEndMs, SUBJECT);
    assertThat(isRefused(HARMFUL, firstEndMs)).isFalse();
    crash("t4#1", firstEndMs + 1, HARMFUL);
    assertThat(isRefused(HARMFUL, firstEndMs + 2 * CrashSuspects.CRASH_RETENTION_MS)).isTrue();
    assertThat(isRefused(HARMFUL, firstEndMs + 1 + 2 * CrashSuspects.CRASH_RETENTION_MS)).isFalse();
  }

  // Guards against two harmful parts of which only the first one is found.
  @Test
  void findsASecondCauseAfterTheFirstOne() {
    Trait other = new Trait.PromptPart("other");
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 2_000 * i, HARMFUL, SUBJECT);
      crash("u" + i + "#1", 2_000 * i + 1_000, other);
    }
    assertThat(isRefused(HARMFUL, 9_000) || isRefused(SUBJECT, 9_000)).isTrue();
    assertThat(isRefused(other, 9_000)).isTrue();
  }

  // Guards against an instance that crashes targets again after its restart.
  @Test
  void refusesWhatAnotherInstanceRefuses() {
    assertThat(suspects.recordRefusal(HARMFUL, 90_000, 1_000)).isEqualTo(RefusalReport.ACCEPTED);
    assertThat(suspects.recordRefusal(HARMFUL, 90_000, 1_000)).isEqualTo(RefusalReport.KNOWN);
    assertThat(isRefused(HARMFUL, 89_999)).isTrue();
    assertThat(isRefused(HARMFUL, 90_000)).isFalse();
    assertThat(suspects.recordRefusal(HARMFUL, 90_000, 90_000)).isEqualTo(RefusalReport.ENDED);
    crash("t1#1", 91_000, HARMFUL);
    assertThat(isRefused(HARMFUL, 91_001)).isTrue();
  }

  // Guards against refusing what was answered here a moment ago, because the refusal of another
  // instance arrives after the answer that has ended it there.
  @Test
  void anAnswerAMomentAgoContradictsTheRefusalOfAnotherInstance() {
    suspects.recordAnswer(FIRST, 1_000);
    long lastMs = 1_000 + CrashSuspects.SILENCE_MS - 1;
    assertThat(suspects.recordRefusal(FIRST, 90_000, lastMs)).isEqualTo(RefusalReport.CONTRADICTED);
    assertThat(isRefused(FIRST, lastMs)).isFalse();
    assertThat(suspects.recordRefusal(FIRST, 90_000, lastMs + 1)).isEqualTo(RefusalReport.ACCEPTED);
  }

  // Guards against a harmful request that crashes further targets because a part of its prompt,
  // refused by mistake, explained its crashes, and nobody looked at them again after an answer had
  // ended that refusal.
  @Test
  void anAnswerThatEndsARefusalLeavesTheBlameOfTheRequest() {
    crash("t1#1", 1_000, SUBJECT, request("g"));
    crash("t2#1", 2_000, SUBJECT, request("h"));
    crash("t3#1", 3_000, SUBJECT, request("f"));
    assertThat(isRefused(SUBJECT, 3_001)).isTrue();
    crash("t4#1", 3_100, SUBJECT, request("f"));
    assertThat(isRefused(request("f"), 3_101)).isFalse();
    assertThat(suspects.recordAnswer(SUBJECT, 3_200)).isTrue();
    assertThat(suspects.refuseRequests(3_200)).containsExactly(request("f"));
    assertThat(isRefused(request("f"), 3_201)).isTrue();
    assertThat(isRefused(request("g"), 3_201)).isFalse();
    assertThat(isRefused(SUBJECT, 3_201)).isFalse();
  }

  // Guards against ending requests with another sound part of their prompts, whose answer is still
  // on its way, because the first part was answered.
  @Test
  void anAnswerThatEndsARefusalBlamesNoOtherSharedTrait() {
    for (int i = 1; i <= 3; i++) {
      crash("t" + i + "#1", 1_000 * i, FIRST, SUBJECT);
    }
    assertThat(isRefused(SUBJECT, 3_001)).isTrue();
    assertThat(suspects.recordAnswer(SUBJECT, 3_100)).isTrue();
    assertThat(suspects.refuseRequests(3_100)).isEmpty();
    assertThat(isRefused(FIRST, 3_101)).isFalse();
  }

  // Guards against a request that is not refused at an instance because the refusal of a part of
  // its prompt by another instance came first.
  @Test
  void aContradictedRefusalOfAnotherInstanceLeavesTheBlameOfTheRequest() {
    suspects.recordAnswer(SUBJECT, 0);
    crash("t1#1", 1_000, SUBJECT, request("f"));
    assertThat(suspects.recordRefusal(SUBJECT, 90_000, 1_100))
        .isEqualTo(RefusalReport.CONTRADICTED);
    crash("t2#1", 2_000, SUBJECT, request("f"));
    assertThat(isRefused(request("f"), 2_001)).isTrue();
    assertThat(isRefused(SUBJECT, 2_001)).isFalse();
  }

  // Guards against refusing a sound request that many callers send alike when two targets that run
  // it fail together, although another target answers it.
  @Test
  void aRequestThatWasAnsweredBeforeOrAfterTheCrashesIsNotRefused() {
    suspects.recordAnswer(request("f"), 50);
    crash("t1#1", 100, request("f"), request("g"));
    crash("t2#1", 150, request("f"), request("g"));
    assertThat(isRefused(request("f"), 151)).isFalse();
    assertThat(isRefused(request("g"), 151)).isTrue();
    assertThat(suspects.recordAnswer(request("g"), 200)).isTrue();
    assertThat(isRefused(request("g"), 201)).isFalse();
    assertThat(suspects.refuseRequests(201)).isEmpty();
  }
}
