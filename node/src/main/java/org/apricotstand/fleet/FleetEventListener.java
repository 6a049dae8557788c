package org.apricotstand.fleet;

import java.util.Map;
import org.apricotstand.suspect.Trait;

/** Receives what other instances have seen of targets. All methods are called on one thread. */
public interface FleetEventListener {

  /** Does nothing. */
  FleetEventListener NONE =
      new FleetEventListener() {
        @Override
        public void onCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {}

        @Override
        public void onAnswer(Trait trait) {}

        @Override
        public void onRefusal(Trait trait, long untilMs) {}

        @Override
        public void onLimit(String incarnation, double perSecond) {}

        @Override
        public void onLimitEnd(String incarnation) {}

        @Override
        public void onQuotaLent(long number, boolean isLent) {}
      };

  /**
   * Called when a target crashed.
   *
   * @param incarnation identifier of the run of the target
   * @param requestsByTrait number of requests that it had not begun to answer, by trait
   */
  void onCrash(String incarnation, Map<Trait, Integer> requestsByTrait);

  /** Called when a target answered a request with a trait that was suspected. */
  void onAnswer(Trait trait);

  /** Called when an instance refuses requests with a trait until a monotonic time. */
  void onRefusal(Trait trait, long untilMs);

  /** Called when a target named the requests a second that it takes from all instances together. */
  void onLimit(String incarnation, double perSecond);

  /** Called when a target has stopped to name a limit. */
  void onLimitEnd(String incarnation);

  /** Called when the relay has lent credit to a request of this instance, or refused it. */
  void onQuotaLent(long number, boolean isLent);
}
