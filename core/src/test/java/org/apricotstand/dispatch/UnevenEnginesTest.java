package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Plays streams of 64 instances at 12 engines, each of which processes one prompt after the other.
 * The adapters are resident at two engines each. The instances know what the others cause as it was
 * at the last full half second.
 */
class UnevenEnginesTest {

  private static final int INSTANCES = 64;
  private static final int ENGINES = 12;
  private static final int ADAPTERS = 100;
  private static final int SEEDS = 3;
  private static final double REQUESTS_PER_S = 90;
  private static final double DURATION_MS = 120_000;
  private static final double PUBLISH_MS = 500;
  private static final double PROMPT_MS = 60;
  private static final double STREAM_MS = 1_800;
  private static final double LOAD_MS = 150;
  private static final double SPREAD = 0.5;
  private static final double SLOW_SPELL = 2.5;
  private static final double SPELL_PROBABILITY = 0.06;

  private static final double[] EQUAL = {1, 1, 1};
  private static final double[] UNEVEN = {0.6, 1, 1.6};

  /**
   * What the requests met.
   *
   * @param p95Ms 95th percentile of the time to the first byte
   * @param loads adapters that were loaded at a third engine
   */
  record Result(double p95Ms, int loads) {}

  private record Event(double atMs, int order, Runnable action) {}

  private static final class Play {
    private final Random arrivals;
    private final Random streams;
    private final double[] usualSpeeds;
    private final boolean hasSlowSpells;
    private final boolean learnsSpeeds;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingInt(Event::order));
    private final List<TargetEntry> engines = new ArrayList<>();
    private final List<Set<Integer>> enginesOfAdapter = new ArrayList<>();
    private final TargetLoad[][] own = new TargetLoad[INSTANCES][ENGINES];
    private final TargetLoad[][] published = new TargetLoad[INSTANCES][ENGINES];
    private final double[] busyUntilMs = new double[ENGINES];
    private final double[] slowUntilMs = new double[ENGINES];
    private final TargetSpeeds speeds = new TargetSpeeds();
    private final Map<String, AnswerTimes> answerTimes = new HashMap<>();
    private final List<Double> timesMs = new ArrayList<>();
    private Map<String, Double> slowness = Map.of();
    private double nowMs;
    private int order;
    private int loads;

    private Play(long seed, double[] usualSpeeds, boolean hasSlowSpells, boolean learnsSpeeds) {
      this.arrivals = new Random(seed);
      this.streams = new Random(seed + 1_000);
      this.usualSpeeds = usualSpeeds;
      this.hasSlowSpells = hasSlowSpells;
      this.learnsSpeeds = learnsSpeeds;
      for (int engine = 0; engine < ENGINES; engine++) {
        String domain = "d" + engine % usualSpeeds.length;
        engines.add(
            new TargetEntry("e" + engine, "s", "10.0.0.1", 80, domain, 64, false, 0, Map.of()));
      }
      speeds.setTargets(engines);
      for (int adapter = 0; adapter < ADAPTERS; adapter++) {
        int first = arrivals.nextInt(ENGINES);
        int second = (first + 1 + arrivals.nextInt(ENGINES - 1)) % ENGINES;
        enginesOfAdapter.add(new HashSet<>(Set.of(first, second)));
      }
      for (int instance = 0; instance < INSTANCES; instance++) {
        for (int engine = 0; engine < ENGINES; engine++) {
          own[instance][engine] = TargetLoad.NONE;
          published[instance][engine] = TargetLoad.NONE;
        }
      }
    }

    private Result run() {
      publish();
      arrive();
      while (nowMs < DURATION_MS) {
        Event event = events.poll();
        nowMs = event.atMs;
        event.action.run();
      }
      double[] sorted = timesMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
      return new Result(sorted[(int) (0.95 * sorted.length)], loads);
    }

    private void at(double timeMs, Runnable action) {
      events.add(new Event(timeMs, order++, action));
    }

    private void publish() {
      for (int engine = 0; engine < ENGINES; engine++) {
        TargetLoad all = TargetLoad.NONE;
        for (TargetLoad[] loadsOfInstance : own) {
          all = all.plus(loadsOfInstance[engine]);
        }
        for (int instance = 0; instance < INSTANCES; instance++) {
          TargetLoad mine = own[instance][engine];
          published[instance][engine] =
              new TargetLoad(all.started() - mine.started(), all.waiting() - mine.waiting());
        }
        if (hasSlowSpells && arrivals.nextDouble() < SPELL_PROBABILITY) {
          slowUntilMs[engine] = nowMs + 600 + 2_000 * arrivals.nextDouble();
        }
      }
      speeds.record(answerTimes, (long) nowMs);
      answerTimes.clear();
      slowness = speeds.slowness((long) nowMs);
      at(nowMs + PUBLISH_MS, this::publish);
    }

    private void arrive() {
      at(nowMs - Math.log(1 - arrivals.nextDouble()) * 1_000 / REQUESTS_PER_S, this::arrive);
      int instance = arrivals.nextInt(INSTANCES);
      // Squared, so that some adapters are used far more often than others.
      int adapter = (int) (ADAPTERS * Math.pow(arrivals.nextDouble(), 2));
      double promptMs =
          PROMPT_MS * Math.exp(SPREAD * arrivals.nextGaussian() - SPREAD * SPREAD / 2);
      List<Candidate> candidates =
          IntStream.range(0, ENGINES)
              .mapToObj(engine -> candidate(instance, adapter, engine))
              .toList();
      String domain = "d" + instance % usualSpeeds.length;
      Candidate chosen =
          TargetChooser.chooseEngine("m/a" + adapter, domain, candidates).orElseThrow();
      send(instance, adapter, engines.indexOf(chosen.target()), promptMs, chosen.load());
    }

    private Candidate candidate(int instance, int adapter, int engine) {
      boolean isResident = enginesOfAdapter.get(adapter).contains(engine);
      double known = slowness.getOrDefault("e" + engine, 1.0);
      return new Candidate(
          engines.get(engine),
          own[instance][engine].plus(published[instance][engine]),
          isResident ? Availability.RESIDENT : Availability.COLD,
          true,
          0,
          0,
          0,
          false,
          learnsSpeeds ? known : 1);
    }

    private void send(
        int instance, int adapter, int engine, double promptMs, TargetLoad knownLoad) {
      boolean isLoad = enginesOfAdapter.get(adapter).add(engine);
      loads += isLoad ? 1 : 0;
      double loadMs = isLoad ? LOAD_MS : 0;
      double factor =
          (nowMs < slowUntilMs[engine] ? SLOW_SPELL : 1) / usualSpeeds[engine % usualSpeeds.length];
      double sentMs = nowMs;
      own[instance][engine] = own[instance][engine].plus(new TargetLoad(0, 1));
      busyUntilMs[engine] = Math.max(busyUntilMs[engine], nowMs + loadMs) + promptMs * factor;
      double streamMs = STREAM_MS * Math.exp(SPREAD * streams.nextGaussian()) * factor;
      at(
          busyUntilMs[engine],
          () -> {
            own[instance][engine] = own[instance][engine].plus(new TargetLoad(1, -1));
            timesMs.add(nowMs - sentMs);
            long timeMs = Math.round(nowMs - sentMs - loadMs);
            long ownTimeMs = TargetSpeeds.engineTimeMs(timeMs, knownLoad, 64);
            answerTimes.merge("e" + engine, new AnswerTimes(1, ownTimeMs), AnswerTimes::plus);
            at(
                nowMs + streamMs,
                () -> own[instance][engine] = own[instance][engine].plus(new TargetLoad(-1, 0)));
          });
    }
  }

  /** Returns the mean percentile and all loads over several seeds. */
  static Result play(double[] usualSpeeds, boolean hasSlowSpells, boolean learnsSpeeds) {
    List<Result> results =
        IntStream.rangeClosed(1, SEEDS)
            .mapToObj(seed -> new Play(seed, usualSpeeds, hasSlowSpells, learnsSpeeds).run())
            .toList();
    return new Result(
        results.stream().mapToDouble(Result::p95Ms).average().orElse(0),
        results.stream().mapToInt(Result::loads).sum());
  }

  // Guards against prompts that wait at slow engines although a fast one has the adapter too, and
  // against loads of adapters for the sake of a faster engine.
  @Test
  void slowEnginesGetFewerPrompts() {
    for (boolean hasSlowSpells : new boolean[] {false, true}) {
      Result without = play(UNEVEN, hasSlowSpells, false);
      Result with = play(UNEVEN, hasSlowSpells, true);
      assertThat(with.p95Ms()).isLessThan(0.9 * without.p95Ms());
      assertThat(with.loads()).isAtMost(without.loads());
    }
  }

  // Guards against prompts that move between equal engines because of the noise of their times.
  @Test
  void equalEnginesAreServedAlike() {
    Result without = play(EQUAL, false, false);
    Result with = play(EQUAL, false, true);
    assertThat(with.p95Ms()).isLessThan(1.05 * without.p95Ms());
    assertThat(with.loads()).isAtMost(without.loads());
  }
}
