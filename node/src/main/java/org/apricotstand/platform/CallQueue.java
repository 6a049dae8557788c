package org.apricotstand.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apricotstand.http.HttpReply;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/**
 * Bounded queue of calls to the platform. Sends them by priority and with a rate limit; while the
 * platform does not answer, only single probes are sent. A call that is not sent fails with {@link
 * TableService#UNREACHABLE}, which means that it had no effect. Methods may be called from any
 * thread.
 */
final class CallQueue {

  private static final int MAX_WAITING_CALLS = 512;
  private static final int MAX_CALLS_IN_FLIGHT = 32;
  // All instances together can send the platform about 2,000 reads/s and several hundred writes/s.
  private static final double CALLS_PER_MS = 0.2;
  private static final double MAX_BURST_CALLS = 100;

  private final String peer;
  private final LongSupplier clock;
  private final CircuitBreaker breaker;
  private final Map<CallPriority, Queue<QueuedCall>> callsByPriority =
      new EnumMap<>(CallPriority.class);
  private int waitingCount;
  private int inFlight;
  private double tokens = MAX_BURST_CALLS;
  private long lastRefillMs;
  private boolean timerSet;

  /** A call that has not been sent. */
  private record QueuedCall(
      long deadlineMs,
      Supplier<CompletableFuture<Result<HttpReply>>> send,
      CompletableFuture<Result<HttpReply>> future) {}

  CallQueue(String peer, LongSupplier clock, RandomGenerator random) {
    this.peer = peer;
    this.clock = clock;
    this.breaker = new CircuitBreaker(random);
    this.lastRefillMs = clock.getAsLong();
    for (CallPriority priority : CallPriority.values()) {
      callsByPriority.put(priority, new ArrayDeque<>());
    }
  }

  /** Queues a call. The future never completes exceptionally. */
  CompletableFuture<Result<HttpReply>> submit(
      CallPriority priority, long deadlineMs, Supplier<CompletableFuture<Result<HttpReply>>> send) {
    QueuedCall call = new QueuedCall(deadlineMs, send, new CompletableFuture<>());
    QueuedCall dropped = enqueue(priority, call);
    if (dropped != null) {
      failAsNotSent(dropped, "the queue is full");
    }
    sendReadyCalls();
    return call.future();
  }

  /**
   * Adds a call. If the queue then exceeds its limit, removes and returns the oldest call of the
   * lowest priority; otherwise returns null.
   */
  private synchronized QueuedCall enqueue(CallPriority priority, QueuedCall call) {
    callsByPriority.get(priority).add(call);
    waitingCount++;
    if (waitingCount <= MAX_WAITING_CALLS) {
      return null;
    }
    waitingCount--;
    CallPriority[] priorities = CallPriority.values();
    for (int i = priorities.length - 1; i >= 0; i--) {
      QueuedCall oldest = callsByPriority.get(priorities[i]).poll();
      if (oldest != null) {
        return oldest;
      }
    }
    throw new IllegalStateException("the queue is full but contains no call");
  }

  /** Fails the calls whose deadline has passed and sends those that the limits allow. */
  private void sendReadyCalls() {
    List<QueuedCall> overdue = new ArrayList<>();
    List<QueuedCall> ready = new ArrayList<>();
    removeReadyCalls(overdue, ready);
    overdue.forEach(call -> failAsNotSent(call, "the deadline passed before the call was sent"));
    ready.forEach(this::send);
  }

  /** Moves overdue calls and those to send now from the queue to the lists. */
  private synchronized void removeReadyCalls(List<QueuedCall> overdue, List<QueuedCall> ready) {
    long nowMs = clock.getAsLong();
    tokens = Math.min(MAX_BURST_CALLS, tokens + (nowMs - lastRefillMs) * CALLS_PER_MS);
    lastRefillMs = nowMs;
    for (Queue<QueuedCall> queue : callsByPriority.values()) {
      queue.removeIf(call -> call.deadlineMs() <= nowMs && overdue.add(call));
    }
    waitingCount -= overdue.size();
    for (Queue<QueuedCall> queue : callsByPriority.values()) {
      while (!queue.isEmpty()
          && inFlight < MAX_CALLS_IN_FLIGHT
          && tokens >= 1
          && breaker.tryAcquire(nowMs, queue.peek().deadlineMs())) {
        ready.add(queue.poll());
        waitingCount--;
        inFlight++;
        tokens--;
      }
    }
    if (waitingCount > 0 && !timerSet) {
      timerSet = true;
      delayedExecutor().execute(this::onTimer);
    }
  }

  private static Executor delayedExecutor() {
    return CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS, Runnable::run);
  }

  private void onTimer() {
    synchronized (this) {
      timerSet = false;
    }
    sendReadyCalls();
  }

  private void send(QueuedCall call) {
    call.send()
        .get()
        .thenAccept(
            result -> {
              recordResult(result);
              call.future().complete(result);
              sendReadyCalls();
            });
  }

  private synchronized void recordResult(Result<HttpReply> result) {
    inFlight--;
    boolean answered =
        result instanceof Result.Ok<HttpReply> ok && ok.value().status() < MIN_SERVER_ERROR_STATUS;
    if (answered) {
      breaker.recordSuccess();
    } else {
      breaker.recordFailure(clock.getAsLong());
    }
  }

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private void failAsNotSent(QueuedCall call, String detail) {
    call.future()
        .complete(
            Result.failed(new Failure(Step.PLATFORM, peer, TableService.UNREACHABLE, detail)));
  }

  /** Returns the number of calls that wait to be sent. */
  synchronized int waitingCalls() {
    return waitingCount;
  }

  /** Returns whether the platform counts as down because it has not answered recent calls. */
  synchronized boolean isCircuitOpen() {
    return breaker.isOpen();
  }
}
