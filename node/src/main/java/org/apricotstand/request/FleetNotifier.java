package org.apricotstand.request;

import java.util.Map;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.suspect.Trait;

/** Sends messages of the request path to the rest of the fleet. All calls return immediately. */
public interface FleetNotifier {

  /** Asks the owner of an engine to load the adapter that a request waits for. */
  void requestLoad(String engine, SlotEvent.LoadRequested loadRequest);

  /** Tells the owner of an engine that the engine lacks an adapter that it was reported to hold. */
  void reportMissing(String engine, AdapterKey key);

  /**
   * Tells all instances that a target crashed.
   *
   * @param incarnation identifier of the run of the target that crashed
   * @param requestsByTrait number of requests that it had not begun to answer, by trait
   */
  void reportCrash(String incarnation, Map<Trait, Integer> requestsByTrait);

  /** Tells all instances that a target has answered a request with this trait. */
  void reportAnswer(Trait trait);

  /**
   * Tells all instances, also those that start later, that requests with a trait are refused.
   *
   * @param untilMs monotonic time at which the refusal ends
   */
  void reportRefusal(Trait trait, long untilMs);

  /**
   * Tells all instances that a target limits the requests of all of them together.
   *
   * @param incarnation identifier of the run of the target
   * @param perSecond requests a second
   */
  void reportLimit(String incarnation, double perSecond);

  /**
   * Asks the relay for credit for one request. The answer goes to {@link
   * org.apricotstand.fleet.FleetEventListener#onQuotaLent}, unless it is lost.
   */
  void requestQuota(long number, String tenant, long amount);

  /** Tells all instances that a target limits requests no more. */
  void reportLimitEnd(String incarnation);
}
