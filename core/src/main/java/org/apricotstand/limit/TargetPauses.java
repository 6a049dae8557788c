package org.apricotstand.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Keeps requests from targets that asked for none: for a time, or for good because they leave.
 *
 * <p>Requests that are kept back during a pause would all be sent at its end and fill the target
 * again. Those that wait for the end, and those that come shortly after it, are sent one after the
 * other instead.
 *
 * <pre>{@code
 * pauses.pause(target, nowMs + retryAfterMs, nowMs);
 * OptionalLong delayMs = pauses.delayMs(target, nowMs);
 * if (delayMs.isPresent()) {
 *   long sendAtMs = pauses.reserve(target, nowMs);
 * }
 * }</pre>
 */
public final class TargetPauses {

  /** A longer pause counts as this one, so that a mistaken time doesn't lose a target for good. */
  static final long MAX_PAUSE_MS = 600_000;

  /** Time between two requests of this instance after a pause. */
  static final long RETURN_SPACING_MS = 25;

  /** Time after a pause in which requests are spaced. */
  static final long RETURN_SPREAD_MS = 1_000;

  /**
   * Time for which a target that leaves is remembered after its entry is gone. The entry can come
   * back, for instance when the target was cut off from the list meanwhile.
   */
  static final long LEAVING_LIFETIME_MS = 600_000;

  private static final long FOR_GOOD = Long.MAX_VALUE;

  private final Map<String, Pause> pauses = new HashMap<>();

  /**
   * A target that asked for no requests.
   *
   * @param untilMs end of the time without requests; {@link #FOR_GOOD} if the target leaves
   * @param nextMs time of the next request after those that have reserved a place
   * @param listedMs time at which a target that leaves was listed last
   */
  private record Pause(long untilMs, long nextMs, long listedMs) {

    static Pause until(long untilMs) {
      return new Pause(untilMs, untilMs, 0);
    }

    static Pause forGood(long nowMs) {
      return new Pause(FOR_GOOD, FOR_GOOD, nowMs);
    }

    Pause listedAt(long nowMs) {
      return untilMs == FOR_GOOD ? forGood(nowMs) : this;
    }

    boolean isOver(long nowMs) {
      return untilMs != FOR_GOOD && nowMs >= untilMs + RETURN_SPREAD_MS;
    }

    boolean isGone(long nowMs) {
      return untilMs == FOR_GOOD && nowMs >= listedMs + LEAVING_LIFETIME_MS;
    }
  }

  /**
   * Records that a target wants no requests until a time. An earlier end than the known one changes
   * nothing, since answers can overtake each other.
   *
   * @param target incarnation of the target
   * @return whether the target is paused longer than before
   */
  public boolean pause(String target, long untilMs, long nowMs) {
    long boundedMs = Math.min(untilMs, nowMs + MAX_PAUSE_MS);
    Pause known = pauses.get(target);
    if (boundedMs <= nowMs || known != null && known.untilMs >= boundedMs) {
      return false;
    }
    pauses.put(target, Pause.until(boundedMs));
    return true;
  }

  /** Records that a target leaves; returns whether this was not known. */
  public boolean leave(String target, long nowMs) {
    Pause before = pauses.put(target, Pause.forGood(nowMs));
    return before == null || before.untilMs != FOR_GOOD;
  }

  /** Returns whether a target wants no requests now. */
  public boolean isPaused(String target, long nowMs) {
    Pause pause = pauses.get(target);
    return pause != null && nowMs < pause.untilMs;
  }

  /** Returns the time until a request may be sent to a target; empty if the target leaves. */
  public OptionalLong delayMs(String target, long nowMs) {
    Pause pause = pauses.get(target);
    if (pause == null || pause.isOver(nowMs)) {
      return OptionalLong.of(0);
    }
    return pause.untilMs == FOR_GOOD
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, pause.nextMs - nowMs));
  }

  /** Reserves the next place at a target that does not leave, and returns its time. */
  public long reserve(String target, long nowMs) {
    Pause pause = pauses.get(target);
    if (pause == null || pause.isOver(nowMs)) {
      return nowMs;
    }
    long sendAtMs = Math.max(nowMs, pause.nextMs);
    long lastMs = pause.untilMs + RETURN_SPREAD_MS;
    long nextMs = Math.min(lastMs, sendAtMs + RETURN_SPACING_MS);
    pauses.put(target, new Pause(pause.untilMs, nextMs, pause.listedMs));
    return sendAtMs;
  }

  /** Returns whether no target has asked for a pause. */
  public boolean isEmpty() {
    return pauses.isEmpty();
  }

  /**
   * Forgets pauses that are over, and targets that leave and have been gone for {@value
   * #LEAVING_LIFETIME_MS} ms. A pause of a target that is gone holds if the target comes back.
   *
   * @param targets incarnations of the targets that are listed
   */
  public void retain(Set<String> targets, long nowMs) {
    pauses.replaceAll((target, pause) -> targets.contains(target) ? pause.listedAt(nowMs) : pause);
    pauses.values().removeIf(pause -> pause.isOver(nowMs) || pause.isGone(nowMs));
  }
}
