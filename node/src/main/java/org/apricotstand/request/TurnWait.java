package org.apricotstand.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;

/**
 * Waits until a request may be sent to a target that limits requests. Belongs to the traffic
 * thread.
 */
final class TurnWait {

  private final EventLoop loop;
  private final TargetPacer pacer;
  private Reservation reservation;

  /** A place in the requests to a target that limits them. */
  private record Reservation(TargetEntry target, long sendAtMs, ScheduledFuture<?> timer) {}

  TurnWait(EventLoop loop, TargetPacer pacer) {
    this.loop = loop;
    this.pacer = pacer;
  }

  /**
   * Takes the next place at a target. Returns true if that is now; otherwise calls the listener
   * with the target when its time has come.
   */
  boolean takeTurn(TargetEntry target, Consumer<TargetEntry> listener) {
    long sendAtMs = pacer.reserve(target);
    long delayMs = sendAtMs - ControlThread.nowMs();
    if (delayMs <= 0) {
      return true;
    }
    ScheduledFuture<?> timer =
        loop.schedule(() -> endWait(listener), delayMs, TimeUnit.MILLISECONDS);
    reservation = new Reservation(target, sendAtMs, timer);
    return false;
  }

  private void endWait(Consumer<TargetEntry> listener) {
    TargetEntry target = reservation.target;
    reservation = null;
    listener.accept(target);
  }

  boolean isWaiting() {
    return reservation != null;
  }

  /** Gives the place back if the request still waits; the listener is not called any more. */
  void giveUp() {
    if (reservation != null) {
      reservation.timer.cancel(false);
      pacer.release(reservation.target, reservation.sendAtMs);
      reservation = null;
    }
  }
}
