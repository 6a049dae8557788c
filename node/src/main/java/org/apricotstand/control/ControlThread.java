package org.apricotstand.control;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.apricotstand.kernel.Service;
import org.apricotstand.observe.EventLog;

/**
 * Runs all decisions of an instance on one thread, so that control state needs no locks. Tasks must
 * not block.
 *
 * <pre>{@code
 * control.execute(() -> scheduler.handle(event, control.nowMs()));
 * }</pre>
 */
public final class ControlThread implements Service, Executor {

  private static final EventLog LOG = EventLog.of(ControlThread.class);

  /** Interval to which the times of regular tasks are aligned, so that they share wake-ups. */
  public static final long ALIGNMENT_MS = 50;

  /** Differs between instances, so that those on one machine do not all wake up at once. */
  private final long alignmentOffsetMs = nowMs() % ALIGNMENT_MS;

  private final PauseWatchdog watchdog = new PauseWatchdog(ControlThread::nowMs);
  private final Queue<Runnable> endActions = new ArrayDeque<>();
  private volatile Thread controlThread;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            controlThread = thread;
            return thread;
          });

  /** Returns the monotonic time in milliseconds; only differences have a meaning. */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Sets the listener that runs on this thread, before any other task, after the process was
   * paused; it receives the length of the pause in milliseconds. Pauses are detected between two
   * tasks, so a task has to run several times a second.
   */
  public void setPauseListener(LongConsumer listener) {
    execute(() -> watchdog.watch(listener));
  }

  /** Runs a task as soon as this thread is free. A task submitted after the stop is dropped. */
  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(guarded(task));
    } catch (RejectedExecutionException e) {
      LOG.debug("task_dropped", "reason", "stopped");
    }
  }

  /**
   * Returns the latest time that is not after the given one and at which regular tasks run
   * together, so that they share a wake-up of the process. It is less than {@link #ALIGNMENT_MS}
   * earlier.
   */
  public long align(long latestMs) {
    return latestMs - Math.floorMod(latestMs - alignmentOffsetMs, ALIGNMENT_MS);
  }

  /** Returns whether the caller runs on this thread. */
  public boolean isCurrent() {
    return Thread.currentThread() == controlThread;
  }

  /**
   * Runs an action after the current task, whether that fails or not; to be called on this thread.
   */
  public void executeAtTaskEnd(Runnable action) {
    endActions.add(action);
  }

  /**
   * Runs the handler on this thread when the call has completed, with the result and the failure,
   * one of which is null.
   */
  public <T> void whenComplete(CompletionStage<T> call, BiConsumer<T, Throwable> handler) {
    call.whenComplete((result, failure) -> execute(() -> handler.accept(result, failure)));
  }

  /** Runs a task at the given monotonic time in milliseconds; at once when that has passed. */
  public void executeAt(long dueMs, Runnable task) {
    try {
      long delayMs = Math.max(0, dueMs - nowMs());
      executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("task_dropped", "reason", "stopped");
    }
  }

  /**
   * Runs a task repeatedly until the stop, with a fixed delay between two runs and before the
   * first.
   */
  public void executeEvery(long periodMs, Runnable task) {
    executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  private Runnable guarded(Runnable task) {
    return () -> {
      runLoggingFailure(
          () -> {
            watchdog.check();
            task.run();
          });
      for (Runnable action = endActions.poll(); action != null; action = endActions.poll()) {
        runLoggingFailure(action);
      }
    };
  }

  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.warn("control_task_failed", "error", e.toString(), "at", firstFrame(e));
    }
  }

  private static String firstFrame(RuntimeException e) {
    return e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString();
  }
}
