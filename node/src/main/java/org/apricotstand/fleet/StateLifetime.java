package org.apricotstand.fleet;

import java.util.OptionalLong;
import org.apricotstand.peer.FleetState;

/** Decides how fast and for how long each kind of the fleet's state is passed on. */
final class StateLifetime {

  /**
   * Time for which the crash of a target and the removal of a row are passed on. New instances need
   * neither, and they would add up.
   */
  private static final long EVENT_LIFETIME_MS = 60_000;

  /** Time for which a limit of a target is passed on; it is published again while it holds. */
  private static final long LIMIT_LIFETIME_MS = 10_000;

  private StateLifetime() {}

  /** Returns how long a state is passed on; empty if until another one replaces it. */
  static OptionalLong lifetimeMs(FleetState state) {
    return switch (state) {
      case FleetState.TargetCrash crash -> OptionalLong.of(EVENT_LIFETIME_MS);
      case FleetState.TraitAnswered answer -> OptionalLong.of(EVENT_LIFETIME_MS);
      case FleetState.TraitRefused refusal -> OptionalLong.of(refusal.remainingMs());
      case FleetState.TargetLimit limit -> OptionalLong.of(LIMIT_LIFETIME_MS);
      case FleetState.TargetLimitEnd end -> OptionalLong.of(LIMIT_LIFETIME_MS);
      case FleetState.TableRow row ->
          row.removed() ? OptionalLong.of(EVENT_LIFETIME_MS) : OptionalLong.empty();
      case FleetState.EngineHoldings holdings -> OptionalLong.empty();
      case FleetState.InstanceStatus status -> OptionalLong.empty();
      case FleetState.RelayedInstances instances -> OptionalLong.empty();
      case FleetState.RelayedLoad load -> OptionalLong.empty();
    };
  }

  /** Returns whether a state is passed on at once, not with the next regular update. */
  static boolean isUrgent(FleetState state) {
    return switch (state) {
      // Requests wait for an adapter, and crashing requests come again at once.
      case FleetState.EngineHoldings holdings -> true;
      case FleetState.TargetCrash crash -> true;
      case FleetState.TraitAnswered answer -> true;
      case FleetState.TraitRefused refusal -> false;
      case FleetState.TargetLimit limit -> true;
      case FleetState.TargetLimitEnd end -> true;
      // Members are told at each read, and other relays read themselves.
      case FleetState.TableRow row -> false;
      case FleetState.InstanceStatus status -> status.leaving();
      case FleetState.RelayedInstances instances -> false;
      case FleetState.RelayedLoad load -> false;
    };
  }
}
