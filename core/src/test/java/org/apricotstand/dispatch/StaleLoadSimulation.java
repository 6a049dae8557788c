package org.apricotstand.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Plays the requests of 64 instances in 3 domains at 3 targets of a plain service, one in each
 * domain. Requests arrive in clumps, the demand of the domains swings with shifted phases, and the
 * instances know the load that the others cause as it was at the last full half second.
 */
final class StaleLoadSimulation {

  private static final int DOMAINS = 3;
  private static final int INSTANCES = 64;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double SERVICE_MS = 30;
  private static final double SPREAD = 0.5;
  private static final double OTHER_DOMAIN_MS = 3;
  private static final double DURATION_MS = 120_000;
  private static final double PUBLISH_MS = 500;
  private static final double SWING_MS = 10_000;
  private static final double SWING = 0.5;
  private static final double CLUMP_MS = 30;
  private static final double SLOW_SPELL = 2.5;
  private static final double MIN_SPELL_MS = 600;
  private static final double MAX_SPELL_MS = 2_600;
  private static final double SPELL_INTERVAL_MS = 8_000;

  /** Chooses among the targets that have not rejected the request. */
  interface Choice {
    Optional<Candidate> choose(String domain, List<Candidate> candidates, double draw);
  }

  /**
   * How requests arrive.
   *
   * @param requestsPerS mean number of requests of all instances
   * @param meanClump mean number of requests that arrive within 30 ms in one domain
   */
  record Demand(double requestsPerS, double meanClump) {}

  /**
   * How fast the targets answer.
   *
   * @param usual speed of each target; 1 is the usual one
   * @param hasSlowSpells whether each target is slower by a factor of 2.5 for 0.6 to 2.6 s at a
   *     time
   */
  record Speeds(List<Double> usual, boolean hasSlowSpells) {
    static final Speeds EQUAL = new Speeds(List.of(1.0, 1.0, 1.0), false);
  }

  /**
   * What the requests met.
   *
   * @param requests number of requests
   * @param rejections rejections by targets
   * @param refused requests that all targets rejected
   * @param p95Ms 95th percentile of the time from sending to the answer of the target
   * @param peakShare mean share of the requests between two publications that went to the target
   *     with the most of them
   */
  record Result(int requests, int rejections, int refused, double p95Ms, double peakShare) {}

  private record Event(double atMs, int order, Runnable action) {}

  private record Running(Request request, double sentMs, TargetLoad knownLoad) {}

  private record Request(int instance, Set<Integer> excluded) {}

  /** Draws arrivals and slow spells, so that all choices meet the same ones. */
  private final Random arrivals;

  private final Random random;
  private final Choice choice;
  private final boolean marksRejections;
  private final Demand demand;
  private final Speeds speeds;
  private final boolean learnsSpeeds;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs == b.atMs
                  ? Integer.compare(a.order, b.order)
                  : Double.compare(a.atMs, b.atMs));
  private final List<List<Running>> queues = new ArrayList<>();
  private final int[] inSlots = new int[DOMAINS];
  private final double[] slowUntilMs = new double[DOMAINS];
  private final int[][] own = new int[INSTANCES][DOMAINS];
  private final int[][] published = new int[INSTANCES][DOMAINS];
  private final List<TargetHealth> healths = new ArrayList<>();
  private final List<TargetEntry> targets = new ArrayList<>();
  private final List<Double> timesMs = new ArrayList<>();
  private final TargetSpeeds targetSpeeds = new TargetSpeeds();
  private final Map<String, AnswerTimes> answerTimes = new HashMap<>();
  private Map<String, Double> slowness = Map.of();
  private final int[] sentSincePublish = new int[DOMAINS];
  private double sumOfPeakShares;
  private int publications;
  private double nowMs;
  private int order;
  private int requests;
  private int rejections;
  private int refused;

  private StaleLoadSimulation(
      long seed,
      Choice choice,
      boolean marksRejections,
      Demand demand,
      Speeds speeds,
      boolean learnsSpeeds) {
    this.arrivals = new Random(seed);
    this.random = new Random(seed + 1_000);
    this.choice = choice;
    this.marksRejections = marksRejections;
    this.demand = demand;
    this.speeds = speeds;
    this.learnsSpeeds = learnsSpeeds;
    for (int target = 0; target < DOMAINS; target++) {
      queues.add(new ArrayList<>());
      targets.add(
          new TargetEntry(
              "t" + target, "s", "10.0.0.1", 80, "d" + target, SLOTS, false, 0, Map.of()));
    }
    targetSpeeds.setTargets(targets);
    IntStream.range(0, INSTANCES).forEach(instance -> healths.add(new TargetHealth()));
  }

  /** Plays two minutes of requests. */
  private static Result play(
      long seed,
      Choice choice,
      boolean marksRejections,
      Demand demand,
      Speeds speeds,
      boolean learnsSpeeds) {
    StaleLoadSimulation simulation =
        new StaleLoadSimulation(seed, choice, marksRejections, demand, speeds, learnsSpeeds);
    simulation.run();
    return simulation.result();
  }

  private Result result() {
    double[] sorted = timesMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double p95Ms = sorted[(int) (0.95 * (sorted.length - 1))];
    return new Result(requests, rejections, refused, p95Ms, sumOfPeakShares / publications);
  }

  private void run() {
    for (int domain = 0; domain < DOMAINS; domain++) {
      scheduleClump(domain);
    }
    for (int target = 0; speeds.hasSlowSpells && target < DOMAINS; target++) {
      scheduleSpell(target);
    }
    at(PUBLISH_MS, this::publish);
    while (!events.isEmpty() && nowMs < DURATION_MS) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
  }

  private void at(double timeMs, Runnable action) {
    events.add(new Event(timeMs, order++, action));
  }

  private void scheduleClump(int domain) {
    double phase = 2 * Math.PI * (nowMs / SWING_MS + (double) domain / DOMAINS);
    double clumpsPerMs =
        demand.requestsPerS / DOMAINS / demand.meanClump / 1_000 * (1 + SWING * Math.sin(phase));
    double waitMs = -Math.log(1 - arrivals.nextDouble()) / clumpsPerMs;
    at(
        nowMs + waitMs,
        () -> {
          int size = (int) Math.ceil(-Math.log(1 - arrivals.nextDouble()) * demand.meanClump);
          for (int i = 0; i < size; i++) {
            int instance = domain + DOMAINS * arrivals.nextInt((INSTANCES - domain + 2) / DOMAINS);
            Request request = new Request(instance, new HashSet<>());
            requests++;
            at(nowMs + arrivals.nextDouble() * CLUMP_MS, () -> send(request));
          }
          scheduleClump(domain);
        });
  }

  private void scheduleSpell(int target) {
    double waitMs = 2 * SPELL_INTERVAL_MS * arrivals.nextDouble();
    double spellMs = MIN_SPELL_MS + arrivals.nextDouble() * (MAX_SPELL_MS - MIN_SPELL_MS);
    at(
        nowMs + waitMs,
        () -> {
          slowUntilMs[target] = nowMs + spellMs;
          scheduleSpell(target);
        });
  }

  private void publish() {
    recordShares();
    targetSpeeds.record(answerTimes, (long) nowMs);
    answerTimes.clear();
    slowness = targetSpeeds.slowness((long) nowMs);
    int[] all = new int[DOMAINS];
    for (int[] loads : own) {
      for (int target = 0; target < DOMAINS; target++) {
        all[target] += loads[target];
      }
    }
    for (int instance = 0; instance < INSTANCES; instance++) {
      for (int target = 0; target < DOMAINS; target++) {
        published[instance][target] = all[target] - own[instance][target];
      }
    }
    at(nowMs + PUBLISH_MS, this::publish);
  }

  private void recordShares() {
    int sent = Arrays.stream(sentSincePublish).sum();
    if (sent > 0) {
      sumOfPeakShares += (double) Arrays.stream(sentSincePublish).max().orElse(0) / sent;
      publications++;
    }
    Arrays.fill(sentSincePublish, 0);
  }

  private void send(Request request) {
    int instance = request.instance;
    List<Candidate> candidates =
        IntStream.range(0, DOMAINS)
            .filter(target -> !request.excluded.contains(target))
            .mapToObj(target -> candidate(instance, target))
            .toList();
    Optional<Candidate> chosen =
        choice.choose("d" + instance % DOMAINS, candidates, random.nextDouble());
    if (chosen.isEmpty()) {
      refused++;
      return;
    }
    int target = targets.indexOf(chosen.get().target());
    sentSincePublish[target]++;
    if (inSlots[target] + queues.get(target).size() >= SLOTS + QUEUE) {
      reject(request, target);
      return;
    }
    own[instance][target]++;
    Running running = new Running(request, nowMs, chosen.get().load());
    if (inSlots[target] < SLOTS) {
      start(running, target);
    } else {
      queues.get(target).add(running);
    }
  }

  private Candidate candidate(int instance, int target) {
    TargetHealth health = healths.get(instance);
    String id = targets.get(target).id();
    return Candidate.ofPlainService(
        targets.get(target),
        new TargetLoad(0, own[instance][target] + published[instance][target]),
        health.penaltyMs(id, (long) nowMs),
        0,
        health.isRejecting(id, (long) nowMs),
        learnsSpeeds ? slowness.getOrDefault(id, 1.0) : 1);
  }

  private void reject(Request request, int target) {
    rejections++;
    request.excluded.add(target);
    TargetHealth health = healths.get(request.instance);
    if (marksRejections) {
      health.recordRejection(targets.get(target).id(), (long) nowMs);
    } else {
      health.recordFailure(targets.get(target).id(), (long) nowMs);
    }
    double delayMs = request.instance % DOMAINS == target ? 1 : 1 + OTHER_DOMAIN_MS;
    at(nowMs + delayMs, () -> send(request));
  }

  private void start(Running running, int target) {
    inSlots[target]++;
    double noise = Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
    double factor = nowMs < slowUntilMs[target] ? SLOW_SPELL : 1;
    at(nowMs + SERVICE_MS * noise * factor / speeds.usual.get(target), () -> end(running, target));
  }

  private void recordTime(Running running, int target) {
    double linkMs = running.request.instance % DOMAINS == target ? 0 : OTHER_DOMAIN_MS;
    long timeMs = Math.round(nowMs - running.sentMs + linkMs);
    long correctedMs = TargetSpeeds.plainTimeMs(timeMs, running.knownLoad, SLOTS);
    answerTimes.merge(targets.get(target).id(), new AnswerTimes(1, correctedMs), AnswerTimes::plus);
  }

  private void end(Running running, int target) {
    int instance = running.request.instance;
    recordTime(running, target);
    inSlots[target]--;
    own[instance][target]--;
    double linkMs = instance % DOMAINS == target ? 0 : OTHER_DOMAIN_MS;
    timesMs.add(nowMs - running.sentMs + linkMs);
    healths.get(instance).recordSuccess(targets.get(target).id(), (long) nowMs);
    if (!queues.get(target).isEmpty()) {
      start(queues.get(target).removeFirst(), target);
    }
  }

  /** Plays several seeds; returns the sums of the counts and the means of the other figures. */
  static Result playSeeds(
      int seeds,
      Choice choice,
      boolean marksRejections,
      Demand demand,
      Speeds speeds,
      boolean learnsSpeeds) {
    List<Result> results =
        IntStream.rangeClosed(1, seeds)
            .mapToObj(seed -> play(seed, choice, marksRejections, demand, speeds, learnsSpeeds))
            .toList();
    return new Result(
        results.stream().mapToInt(Result::requests).sum(),
        results.stream().mapToInt(Result::rejections).sum(),
        results.stream().mapToInt(Result::refused).sum(),
        results.stream().mapToDouble(Result::p95Ms).average().orElse(0),
        results.stream().mapToDouble(Result::peakShare).average().orElse(0));
  }
}
