package org.apricotstand.hedge;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.apricotstand.dispatch.Availability;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.limit.WindowedRetryBudget;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.WeightedService;
import org.junit.jupiter.api.Test;

/** Plays requests of one instance against targets whose times are drawn from a seed. */
class HedgedLoadTest {

  private static final int TARGETS = 40;
  private static final int REQUESTS = 8_000;
  private static final int SPELL_START = 2_000;
  private static final long REQUEST_INTERVAL_MS = 20;
  private static final long USUAL_MS = 200;
  private static final long SILENT_MS = 30_000;

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          RequestKind.IDEMPOTENT,
          60_000,
          1_000,
          5_000,
          3,
          0,
          false,
          List.of(new WeightedService("s", 1)));

  private static final List<Candidate> CANDIDATES =
      IntStream.range(0, TARGETS).mapToObj(HedgedLoadTest::candidate).toList();

  private static Candidate candidate(int index) {
    TargetEntry target =
        new TargetEntry(id(index), "s", "10.0.0.1", 80, "d", 64, false, 0, Map.of());
    return new Candidate(target, TargetLoad.NONE, Availability.RESIDENT, true, 0, 0, 0);
  }

  private static String id(int index) {
    return "t" + index;
  }

  /** Speed of a target at the time of a request; 1 is the usual one, 0 is silent. */
  private interface Speeds {
    double at(int request, String target);
  }

  private record Outcome(long[] timesMs, int hedges) {
    long quantileMs(double fraction) {
      long[] sorted = Arrays.copyOfRange(timesMs, SPELL_START, timesMs.length);
      Arrays.sort(sorted);
      return sorted[(int) (fraction * (sorted.length - 1))];
    }
  }

  private static final class Play {
    private final Random random = new Random(7);
    private final Speeds speeds;
    private final HedgeDelays delays;
    private final HedgeAllowance allowance;
    private final WindowedRetryBudget retries = new WindowedRetryBudget(0.2, 0, 10_000);
    private int hedges;

    private Play(double maxShare, Speeds speeds) {
      this.speeds = speeds;
      delays = new HedgeDelays(maxShare);
      allowance = new HedgeAllowance(maxShare);
    }

    private static Outcome run(double maxShare, Speeds speeds) {
      Play play = new Play(maxShare, speeds);
      long[] timesMs = IntStream.range(0, REQUESTS).mapToLong(play::timeMs).toArray();
      return new Outcome(timesMs, play.hedges);
    }

    private long timeMs(int request) {
      long nowMs = request * REQUEST_INTERVAL_MS;
      allowance.recordRequest();
      retries.recordRequest(nowMs);
      String first = id(request % TARGETS);
      long firstMs = drawMs(request, first);
      OptionalLong delayMs = delays.delayMs("r", first);
      if (delayMs.isEmpty() || firstMs <= delayMs.getAsLong()) {
        delays.recordFirstByte("r", first, firstMs);
        return firstMs;
      }
      HedgeDecision decision = decide(request, first, nowMs);
      if (!(decision instanceof HedgeDecision.Send send)) {
        delays.recordFirstByte("r", first, firstMs);
        return firstMs;
      }
      hedges++;
      String second = send.candidate().target().id();
      long secondMs = drawMs(request, second);
      if (delayMs.getAsLong() + secondMs < firstMs) {
        delays.recordFirstByte("r", second, secondMs);
        delays.recordOverdue("r", first, delayMs.getAsLong() + secondMs);
        return delayMs.getAsLong() + secondMs;
      }
      delays.recordFirstByte("r", first, firstMs);
      return firstMs;
    }

    private HedgeDecision decide(int request, String first, long nowMs) {
      // The rotation stands for the loads, by which targets are chosen in turn.
      List<Candidate> candidates = List.of(CANDIDATES.get((request + 1) % TARGETS));
      HedgeSituation situation =
          new HedgeSituation(ROUTE, 0, false, false, false, first, Set.of(), null, "d", candidates);
      return HedgePolicy.decide(
          situation,
          allowance,
          () -> {
            boolean isReserved = retries.tryReserveRetry(0, nowMs);
            if (isReserved) {
              retries.recordRetry(nowMs);
            }
            return isReserved;
          });
    }

    private long drawMs(int request, String target) {
      double speed = speeds.at(request, target);
      double noise = Math.exp(0.2 * random.nextGaussian());
      return speed == 0 ? SILENT_MS : (long) (USUAL_MS * noise / speed);
    }
  }

  private static Speeds slowTarget(double speed) {
    return (request, target) -> request >= SPELL_START && target.equals("t3") ? speed : 1;
  }

  // Guards against a slow target that keeps the slowest answers slow, although others are free.
  @Test
  void aSlowSpellOfOneTargetIsHedged() {
    Outcome without = Play.run(0, slowTarget(0.2));
    Outcome with = Play.run(0.05, slowTarget(0.2));
    assertThat(with.quantileMs(0.99)).isLessThan(without.quantileMs(0.99) * 3 / 4);
    assertThat(with.quantileMs(0.5)).isAtMost(without.quantileMs(0.5) * 11 / 10);
    assertThat(with.hedges()).isAtMost((int) (0.05 * REQUESTS));
  }

  // Guards against requests that wait for a target that answers nothing.
  @Test
  void aSilentTargetIsHedged() {
    Outcome without = Play.run(0, slowTarget(0));
    Outcome with = Play.run(0.05, slowTarget(0));
    assertThat(without.quantileMs(0.99)).isEqualTo(SILENT_MS);
    assertThat(with.quantileMs(0.99)).isLessThan(10 * USUAL_MS);
  }

  // Guards against hedges that double the work of targets that are all slow.
  @Test
  void extraWorkStaysWithinTheLimitWhenAllTargetsAreSlow() {
    for (double maxShare : new double[] {0.01, 0.05, 0.2}) {
      Outcome outcome = Play.run(maxShare, (request, t) -> request >= SPELL_START ? 0.2 : 1);
      assertThat((double) outcome.hedges()).isAtMost(maxShare * REQUESTS);
      assertThat(outcome.hedges()).isAtLeast(1);
    }
  }

  // Guards against hedges although the operator has turned them off.
  @Test
  void aLimitOfZeroSendsNoHedge() {
    assertThat(Play.run(0, slowTarget(0)).hedges()).isEqualTo(0);
  }

  // Guards against hedges before the usual times are known.
  @Test
  void sendsNoHedgeWithTooFewSamples() {
    HedgeDelays delays = new HedgeDelays(0.05);
    IntStream.range(0, HedgeDelays.MIN_SAMPLES).forEach(i -> delays.recordFirstByte("r", "t", 9));
    assertThat(delays.delayMs("r", "t").isPresent()).isFalse();
  }
}
