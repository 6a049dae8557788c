package org.apricotstand.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.front.CallHandler;

/**
 * A call that came before the instance knew its configuration and targets, which it reads within a
 * second of its start. Belongs to the traffic thread.
 */
final class PlanWait implements CallHandler.ActiveCall {

  private final Supplier<CallHandler.ActiveCall> start;
  private final ScheduledFuture<?> timer;
  private CallHandler.ActiveCall call;
  private boolean ended;

  /**
   * Starts to wait.
   *
   * @param untilMs monotonic time at which the wait ends
   * @param start starts the call, or refuses it if the instance still can't serve it
   */
  PlanWait(EventLoop loop, long untilMs, Supplier<CallHandler.ActiveCall> start) {
    this.start = start;
    long delayMs = Math.max(0, untilMs - ControlThread.nowMs());
    this.timer = loop.schedule(this::endWait, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Ends the wait; called when the instance can serve the call, or when it waits no longer. */
  void endWait() {
    if (!ended) {
      end();
      call = start.get();
    }
  }

  boolean isEnded() {
    return ended;
  }

  private void end() {
    ended = true;
    timer.cancel(false);
  }

  @Override
  public void onCallerDisconnected() {
    end();
    if (call != null) {
      call.onCallerDisconnected();
    }
  }

  @Override
  public void onCallerWritable() {
    if (call != null) {
      call.onCallerWritable();
    }
  }
}
