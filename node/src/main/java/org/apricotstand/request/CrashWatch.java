package org.apricotstand.request;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetHealth;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.observe.EventLog;
import org.apricotstand.suspect.CrashSuspects;
import org.apricotstand.suspect.CrashSuspects.RefusalReport;
import org.apricotstand.suspect.Trait;
import org.apricotstand.upstream.TargetConnectionPool;
import org.apricotstand.upstream.TargetConnectionPool.ProbeResult;

/**
 * Finds out whether a target that lost the connections of requests has crashed, and tells the fleet
 * which traits the requests without an answer had. Belongs to the traffic thread.
 *
 * <pre>{@code
 * watch.onAttemptLost(target, traits, answered);
 * if (watch.findRefused(traits).isPresent()) { ... }
 * }</pre>
 */
final class CrashWatch {

  private static final EventLog LOG = EventLog.of(CrashWatch.class);

  /** Delay between the loss of a connection and the probe of its target. */
  private static final long CRASH_PROBE_DELAY_MS = 100;

  /**
   * Time in which the list of targets shows that a target has been replaced. A supervisor may
   * restart a target at the same address before the probe.
   */
  private static final long REPLACEMENT_WAIT_MS = 10_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final TargetConnectionPool connections;
  private final TargetHealth health;
  private final FleetNotifier fleetNotifier;
  private final Supplier<FleetView> view;
  private final Runnable refusalListener;
  private final CrashSuspects suspects = new CrashSuspects();

  /** Requests that targets have lost since the last probe, by incarnation. */
  private final Map<String, LostRequests> lostByTarget = new HashMap<>();

  /** Losses at targets that responded to the probe, by incarnation. */
  private final Map<String, UnexplainedLoss> unexplainedByTarget = new LinkedHashMap<>();

  /** Requests that a target has lost, whose connections are probed together. */
  private static final class LostRequests {
    /** Unanswered requests whose connection was lost, by trait. */
    private final Map<Trait, Integer> disconnected = new LinkedHashMap<>();

    /** Unanswered requests that timed out while their connection seemed open, by trait. */
    private final Map<Trait, Integer> timedOut = new LinkedHashMap<>();

    private boolean isConnectionLost;

    Map<Trait, Integer> all() {
      return sum(disconnected, timedOut);
    }
  }

  /**
   * Unanswered requests that a target has lost for an unknown reason.
   *
   * @param untilMs time after which a replacement of the target no longer explains the loss
   */
  private record UnexplainedLoss(
      TargetEntry target, Map<Trait, Integer> requestsByTrait, long untilMs) {}

  /**
   * Creates a watch that suspects nothing.
   *
   * @param clock monotonic time in milliseconds
   * @param view supplies the targets that are listed now
   * @param refusalListener called after more requests than before are refused
   */
  CrashWatch(
      EventLoop loop,
      LongSupplier clock,
      TargetConnectionPool connections,
      TargetHealth health,
      FleetNotifier fleetNotifier,
      Supplier<FleetView> view,
      Runnable refusalListener) {
    this.loop = loop;
    this.clock = clock;
    this.connections = connections;
    this.health = health;
    this.fleetNotifier = fleetNotifier;
    this.view = view;
    this.refusalListener = refusalListener;
  }

  /** Returns the trait for which a request is refused, if there is one. */
  Optional<Trait> findRefused(RequestTraits traits) {
    if (!suspects.hasRefusals()) {
      return Optional.empty();
    }
    return suspects.findRefused(traits.all().toList(), clock.getAsLong());
  }

  /** Returns whether a request shares a trait with requests of targets that crashed. */
  boolean isSuspected(RequestTraits traits) {
    return !suspects.isEmpty() && suspects.isSuspected(traits.all().toList(), clock.getAsLong());
  }

  /**
   * Records that a target lost the connection of a request, and probes the target once for all
   * requests that it loses at the same time. If it does not respond, or if it is replaced soon
   * after, it is taken as crashed, and all instances are told.
   *
   * @param answered whether the target had begun to answer, so that the request is no suspect
   */
  void onAttemptLost(TargetEntry target, RequestTraits traits, boolean answered) {
    LostRequests lost = loseRequest(target);
    lost.isConnectionLost = true;
    if (!answered) {
      traits.all().forEach(trait -> lost.disconnected.merge(trait, 1, Integer::sum));
    }
  }

  /**
   * Records that a target did not answer a request in time, which may be because it crashed and its
   * connections are half open. As a sound target may be slow or cut off, the target is taken as
   * crashed only if it is still listed and its host refuses connections, or if it is replaced.
   */
  void onAttemptTimedOut(TargetEntry target, RequestTraits traits) {
    LostRequests lost = loseRequest(target);
    traits.all().forEach(trait -> lost.timedOut.merge(trait, 1, Integer::sum));
  }

  private LostRequests loseRequest(TargetEntry target) {
    LostRequests known = lostByTarget.get(target.incarnation());
    if (known != null) {
      return known;
    }
    LostRequests lost = new LostRequests();
    lostByTarget.put(target.incarnation(), lost);
    loop.schedule(() -> probe(target), CRASH_PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
    return lost;
  }

  private void probe(TargetEntry target) {
    connections.probe(target, result -> onProbed(target, result));
  }

  private void onProbed(TargetEntry target, ProbeResult result) {
    LostRequests lost = lostByTarget.remove(target.incarnation());
    boolean isUnreachable = result == ProbeResult.REFUSED || result == ProbeResult.SILENT;
    if (isUnreachable) {
      health.recordUnreachable(target.id(), clock.getAsLong());
    }
    boolean isTargetGone = result == ProbeResult.REFUSED && isListed(target);
    if (!isUnreachable) {
      awaitReplacement(target, lost.all());
    } else if (isTargetGone) {
      onCrash(target, lost.all());
    } else {
      if (lost.isConnectionLost) {
        onCrash(target, lost.disconnected);
      }
      awaitReplacement(target, lost.timedOut);
    }
  }

  private boolean isListed(TargetEntry target) {
    return listedTargets().anyMatch(listed -> listed.incarnation().equals(target.incarnation()));
  }

  private Stream<TargetEntry> listedTargets() {
    return view.get().targets().values().stream().flatMap(List::stream);
  }

  private static Map<Trait, Integer> sum(Map<Trait, Integer> first, Map<Trait, Integer> second) {
    Map<Trait, Integer> sum = new LinkedHashMap<>(first);
    second.forEach((trait, requests) -> sum.merge(trait, requests, Integer::sum));
    return sum;
  }

  private void awaitReplacement(TargetEntry target, Map<Trait, Integer> requestsByTrait) {
    if (requestsByTrait.isEmpty()) {
      return;
    }
    UnexplainedLoss known = unexplainedByTarget.remove(target.incarnation());
    Map<Trait, Integer> all =
        known == null ? requestsByTrait : sum(known.requestsByTrait, requestsByTrait);
    long untilMs = clock.getAsLong() + REPLACEMENT_WAIT_MS;
    unexplainedByTarget.put(target.incarnation(), new UnexplainedLoss(target, all, untilMs));
    checkReplacements();
  }

  /** Takes targets as crashed that lost requests and have been replaced in the list of targets. */
  void checkReplacements() {
    long nowMs = clock.getAsLong();
    for (UnexplainedLoss loss : List.copyOf(unexplainedByTarget.values())) {
      boolean isReplaced = listedTargets().anyMatch(loss.target::isReplacedBy);
      // A target that is not listed any more is leaving, and restarts without a crash.
      if (isReplaced || !isListed(loss.target) || nowMs >= loss.untilMs) {
        unexplainedByTarget.remove(loss.target.incarnation());
      }
      if (isReplaced) {
        onCrash(loss.target, loss.requestsByTrait);
      }
    }
  }

  private void onCrash(TargetEntry target, Map<Trait, Integer> requestsByTrait) {
    LOG.info("crash_noted", "target", target.incarnation(), "suspects", requestsByTrait.size());
    if (!requestsByTrait.isEmpty()) {
      recordCrash(target.incarnation(), requestsByTrait);
      fleetNotifier.reportCrash(target.incarnation(), requestsByTrait);
    }
  }

  /** Records a crash that this instance or another one has seen. */
  void recordCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {
    long nowMs = clock.getAsLong();
    publishRefusals(suspects.recordCrash(incarnation, requestsByTrait, nowMs), incarnation, nowMs);
  }

  private void publishRefusals(Set<Trait> refused, String incarnation, long nowMs) {
    for (Trait trait : refused) {
      long untilMs = suspects.refusedUntilMs(trait, nowMs).orElse(nowMs);
      LOG.warn(
          "trait_refused",
          "trait",
          trait.encode(),
          "target",
          incarnation,
          "remaining_ms",
          untilMs - nowMs);
      fleetNotifier.reportRefusal(trait, untilMs);
    }
    if (!refused.isEmpty()) {
      refusalListener.run();
    }
  }

  /**
   * Records that another instance refuses a trait, or tells the fleet that it has been answered.
   */
  void recordRefusal(Trait trait, long untilMs) {
    RefusalReport report = suspects.recordRefusal(trait, untilMs, clock.getAsLong());
    if (report == RefusalReport.ACCEPTED) {
      LOG.info("trait_refusal_learnt", "trait", trait.encode());
      refusalListener.run();
    } else if (report == RefusalReport.CONTRADICTED) {
      LOG.info("trait_refusal_contradicted", "trait", trait.encode());
      fleetNotifier.reportAnswer(trait);
    }
  }

  /**
   * Records that a target answers a request, and tells the fleet if that clears a suspected trait.
   */
  void onAnswer(RequestTraits traits) {
    List<Trait> cleared = new ArrayList<>();
    // A request that many callers send alike may be answered elsewhere before the probe that finds
    // two targets crashed at once.
    if (!suspects.isEmpty() || !lostByTarget.isEmpty() || !unexplainedByTarget.isEmpty()) {
      cleared.add(traits.wholeRequest());
    }
    cleared.addAll(traits.shared());
    // All traits are cleared before the crashes are judged anew, or the request itself were blamed.
    cleared.removeIf(trait -> !clear(trait));
    cleared.forEach(fleetNotifier::reportAnswer);
    if (!cleared.isEmpty()) {
      refuseRequests();
    }
  }

  private boolean clear(Trait trait) {
    unexplainedByTarget.values().forEach(loss -> loss.requestsByTrait.remove(trait));
    boolean isNews = suspects.recordAnswer(trait, clock.getAsLong());
    if (isNews) {
      LOG.info("trait_cleared", "trait", trait.encode());
    }
    return isNews;
  }

  private void refuseRequests() {
    long nowMs = clock.getAsLong();
    publishRefusals(suspects.refuseRequests(nowMs), "", nowMs);
  }

  /** Records an answer that another instance has seen; see {@link CrashSuspects}. */
  void recordAnswer(Trait trait) {
    if (clear(trait)) {
      refuseRequests();
    }
  }
}
