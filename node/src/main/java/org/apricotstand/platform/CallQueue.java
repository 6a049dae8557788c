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
 * Calls of the platform that wait to be sent: bounded, by priority, at a limited rate, and none but
 * a probe while the platform does not answer. A call that is not sent fails as unreachable, which
 * says that it had no effect. Methods may be called from any thread.
 */
final class CallQueue {

  private static final int MAX_WAITING = 512;
  private static final int MAX_IN_FLIGHT = 32;
  // The platform takes about 2,000 reads/s and several hundred writes/s from all instances.
  private static final double CALLS_PER_MS = 0.2;
  private static final double BURST = 100;

  private final String peer;
  private final LongSupplier clock;
  private final CircuitBreaker breaker;
  private final Map<CallPriority, Queue<Waiting>> waiting = new EnumMap<>(CallPriority.class);
  private int waitingCount;
  private int inFlight;
  private double tokens = BURST;
  private long refilledMs;
  private boolean timerSet;

  /** A call that has not been sent. */
  private record Waiting(
      long deadlineMs,
      Supplier<CompletableFuture<Result<HttpReply>>> send,
      CompletableFuture<Result<HttpReply>> future) {}

  CallQueue(String peer, LongSupplier clock, RandomGenerator random) {
    this.peer = peer;
    this.clock = clock;
    this.breaker = new CircuitBreaker(random);
    this.refilledMs = clock.getAsLong();
    for (CallPriority priority : CallPriority.values()) {
      waiting.put(priority, new ArrayDeque<>());
    }
  }

  /** Queues a call; the future never fails. */
  CompletableFuture<Result<HttpReply>> submit(
      CallPriority priority, long deadlineMs, Supplier<CompletableFuture<Result<HttpReply>>> send) {
    Waiting call = new Waiting(deadlineMs, send, new CompletableFuture<>());
    Waiting dropped = enqueue(priority, call);
    if (dropped != null) {
      fail(dropped, "the queue is full");
    }
    pump();
    return call.future();
  }

  /** Adds a call and returns the one to drop: a call of the lowest priority when all is full. */
  private synchronized Waiting enqueue(CallPriority priority, Waiting call) {
    waiting.get(priority).add(call);
    waitingCount++;
    if (waitingCount <= MAX_WAITING) {
      return null;
    }
    waitingCount--;
    CallPriority[] priorities = CallPriority.values();
    for (int i = priorities.length - 1; i >= 0; i--) {
      Waiting oldest = waiting.get(priorities[i]).poll();
      if (oldest != null) {
        return oldest;
      }
    }
    throw new IllegalStateException("the full queue is empty");
  }

  private void pump() {
    List<Waiting> overdue = new ArrayList<>();
    List<Waiting> due = new ArrayList<>();
    select(overdue, due);
    overdue.forEach(call -> fail(call, "the call waited until its deadline"));
    due.forEach(this::send);
  }

  private synchronized void select(List<Waiting> overdue, List<Waiting> due) {
    long nowMs = clock.getAsLong();
    tokens = Math.min(BURST, tokens + (nowMs - refilledMs) * CALLS_PER_MS);
    refilledMs = nowMs;
    for (Queue<Waiting> queue : waiting.values()) {
      queue.removeIf(call -> call.deadlineMs() <= nowMs && overdue.add(call));
    }
    waitingCount -= overdue.size();
    for (Queue<Waiting> queue : waiting.values()) {
      while (!queue.isEmpty()
          && inFlight < MAX_IN_FLIGHT
          && tokens >= 1
          && breaker.tryPass(nowMs)) {
        due.add(queue.poll());
        waitingCount--;
        inFlight++;
        tokens--;
      }
    }
    if (waitingCount > 0 && !timerSet) {
      timerSet = true;
      timer().execute(this::timerFired);
    }
  }

  private static Executor timer() {
    return CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS, Runnable::run);
  }

  private void timerFired() {
    synchronized (this) {
      timerSet = false;
    }
    pump();
  }

  private void send(Waiting call) {
    call.send()
        .get()
        .thenAccept(
            result -> {
              ended(result);
              call.future().complete(result);
              pump();
            });
  }

  private synchronized void ended(Result<HttpReply> result) {
    inFlight--;
    boolean answered =
        result instanceof Result.Ok<HttpReply> ok && ok.value().status() < SERVER_ERROR;
    if (answered) {
      breaker.succeeded();
    } else {
      breaker.failed(clock.getAsLong());
    }
  }

  private static final int SERVER_ERROR = 500;

  private void fail(Waiting call, String detail) {
    call.future()
        .complete(
            Result.failed(new Failure(Step.PLATFORM, peer, TableService.UNREACHABLE, detail)));
  }

  /** Returns the number of calls that wait to be sent. */
  synchronized int waiting() {
    return waitingCount;
  }

  /** Returns whether the platform is taken to be down. */
  synchronized boolean isOpen() {
    return breaker.isOpen();
  }
}
