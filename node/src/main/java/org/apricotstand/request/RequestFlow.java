package org.apricotstand.request;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.RetryAdvice;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.front.CallHandler;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.Reply;
import org.apricotstand.observe.EventLog;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.upstream.SendFailure;
import org.apricotstand.upstream.TargetRequest;

/**
 * Handles one request from its arrival to the end of its answer; runs on the traffic thread. The
 * request waits until an engine has its adapter, and is sent to one target at a time, or to a
 * second one while the first is late (see {@link HedgeRace}). It is sent again only if the previous
 * target proved that it did not run the request, or if the route allows more than one run.
 */
final class RequestFlow implements CallHandler.ActiveCall {

  private static final EventLog LOG = EventLog.of(RequestFlow.class);

  /** Logged as the time of a step that the request did not reach. */
  private static final long NOT_REACHED = -1;

  /** Code of requests that are refused because others like them crashed targets. */
  static final String CRASHES_TARGETS = "crashes_targets";

  /** Code of requests that end because a step of this instance failed. */
  static final String INTERNAL_ERROR = "internal_error";

  /** Code of requests that exceed the quota of their tenant. */
  static final String QUOTA_EXCEEDED = "quota_exceeded";

  /** Time after which a caller may send a request again that was refused for crashing targets. */
  static final long CRASHING_REQUEST_RETRY_MS = 60_000;

  private static final int MAX_REJECTIONS = 4;
  private static final int MAX_CONNECT_FAILURES = 4;

  /** Time before the deadline at which the request is ended, so that the answer is in time. */
  private static final long ANSWER_MARGIN_MS = 20;

  /** Time before the first-byte timeout of the caller at which a refusal still reaches it. */
  private static final long REFUSAL_MARGIN_MS = 350;

  private static final long MIN_HEAD_TIMEOUT_MS = 100;

  /** Fraction of the time left that a target gets to answer an idempotent request. */
  private static final double HEAD_TIMEOUT_FRACTION = 0.35;

  private final RequestRouter router;
  private final CallerRequest request;
  private final Reply reply;
  private final Route route;
  private final Admission admission;
  private final QuotaTicket quota;
  private final String service;
  private final String requestId;
  private final AdapterKey adapter;
  private final RequestTraits traits;
  private final long deadlineMs;
  private final long callerDeadlineMs;
  private final Set<String> excludedTargetIds = new HashSet<>();
  private final EventSplitter eventSplitter;
  private final TargetRequestFactory targetRequests;
  private final LoadWait loadWait;
  private final TurnWait turnWait;

  /** Null if the request cannot be hedged. */
  private final HedgeRace hedgeRace;

  private ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> refusalTimer;
  private Attempt currentAttempt;

  private String lastTargetId = "";
  private int runs;
  private int rejections;
  private int connectFailures;
  private long sentAfterMs = NOT_REACHED;
  private long firstByteAfterMs = NOT_REACHED;
  private boolean retryReserved;

  /** Attempts in flight, each of which may run the request; settled when their outcome is known. */
  private int unsettledAttempts;

  private HttpResponse answerHead;
  private boolean ended;

  RequestFlow(
      RequestRouter router,
      CallerRequest request,
      Reply reply,
      Route route,
      Admission admission,
      QuotaTicket quota,
      String service) {
    this.router = router;
    this.request = request;
    this.reply = reply;
    this.route = route;
    this.admission = admission;
    this.quota = quota;
    this.service = service;
    this.requestId = request.headers().get(router.headerNames().requestId());
    String model = request.headers().get(router.headerNames().model());
    boolean isEngineService =
        admission.plan().service(service).flatMap(spec -> spec.engine()).isPresent();
    this.adapter = isEngineService && model != null ? AdapterKey.parse(model) : null;
    this.traits =
        new RequestTraits(
            request, adapter, request.headers().get(router.headerNames().promptParts()));
    this.callerDeadlineMs =
        TargetRequestFactory.callerDeadlineMs(request, router.headerNames(), route.timeoutMs());
    this.deadlineMs =
        Math.min(callerDeadlineMs, request.arrivedMs() + route.timeoutMs()) - ANSWER_MARGIN_MS;
    this.loadWait =
        new LoadWait(
            router.fleetNotifier(),
            adapter,
            deadlineMs,
            request.arrivedMs() + route.targetLatencyMs());
    this.turnWait = new TurnWait(router.loop(), router.pacer());
    this.hedgeRace = HedgeRace.createOrNull(this, router, route);
    this.eventSplitter = route.resumable() ? new EventSplitter() : null;
    this.targetRequests =
        new TargetRequestFactory(
            request, router.headerNames(), admission, route.priority(), callerDeadlineMs);
  }

  String service() {
    return service;
  }

  /** Returns the number of attempts that have ended and may have run the request. */
  int runs() {
    return runs;
  }

  AdapterKey adapter() {
    return adapter;
  }

  RequestTraits traits() {
    return traits;
  }

  boolean isExcluded(TargetEntry target) {
    return excludedTargetIds.contains(target.id());
  }

  void exclude(TargetEntry target) {
    excludedTargetIds.add(target.id());
  }

  /** Returns whether the request has asked for a load at the target and still waits for it. */
  boolean hasRequestedLoad(TargetEntry target) {
    return target.id().equals(loadWait.engine());
  }

  void start() {
    router.activeFlows().add(this);
    long leftMs = Math.max(0, deadlineMs - ControlThread.nowMs());
    deadlineTimer = schedule(this::onDeadline, leftMs);
    if (adapter != null) {
      router.loadTracker().recordArrival(adapter);
      long refuseAtMs = request.arrivedMs() + route.firstByteTimeoutMs() - REFUSAL_MARGIN_MS;
      long delayMs = Math.max(0, refuseAtMs - ControlThread.nowMs());
      refusalTimer = schedule(this::onRefusalTimer, delayMs);
    }
    guard(this::dispatch);
  }

  ScheduledFuture<?> schedule(Runnable step, long delayMs) {
    return router.loop().schedule(() -> guard(step), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a step of the request. If the step fails, the request is ended: nothing else would answer
   * it, and other requests go on.
   */
  void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.warn("request_step_failed", "request", requestId, "error", e.toString());
      endAfterFailedStep();
    }
  }

  private void endAfterFailedStep() {
    if (ended) {
      // Has no effect if the answer is complete.
      reply.abort();
      return;
    }
    cancelAttempts();
    abort(INTERNAL_ERROR);
  }

  private void cancelAttempts() {
    if (hedgeRace != null) {
      hedgeRace.cancel();
    }
    if (currentAttempt != null) {
      currentAttempt.cancel();
    }
  }

  /** Refuses the request if its adapter is not loaded shortly before the caller disconnects. */
  private void onRefusalTimer() {
    if (!ended && currentAttempt == null) {
      refuseOrAbort("adapter_not_loaded", RetryAdvice.Cause.LOADS_QUEUED);
    }
  }

  /** Chooses a target again after the view of the fleet has changed. */
  void onViewChanged() {
    if (!ended && currentAttempt == null && !turnWait.isWaiting()) {
      guard(this::dispatch);
    }
  }

  /** Ends a request without answer that may crash its target; an answer would clear its traits. */
  void onTraitRefused() {
    Attempt current = currentAttempt;
    boolean isAnswered = current != null && current.hasFirstByte();
    if (!ended && !isAnswered && router.crashWatch().findRefused(traits).isPresent()) {
      refuseAsCrashing();
    }
  }

  private void refuseAsCrashing() {
    cancelAndEnd(CRASHES_TARGETS, CRASHING_REQUEST_RETRY_MS);
  }

  /** Ends the request because the process is about to end. */
  void onShutdown() {
    if (!ended) {
      cancelAndEnd(RequestRouter.SHUTTING_DOWN, router.withJitter(RequestRouter.SHUTDOWN_RETRY_MS));
    }
  }

  /** Ends the request now: as not run, with a time to retry after, unless a target may run it. */
  private void cancelAndEnd(String code, long retryAfterMs) {
    boolean isSent = currentAttempt != null;
    cancelAttempts();
    if (isSent || isAnswerStarted() || runs > 0) {
      abort(code);
    } else {
      fail(503, code, retryAfterMs);
    }
  }

  private void dispatch() {
    if (router.crashWatch().findRefused(traits).isPresent()) {
      refuseAsCrashing();
      return;
    }
    Optional<Candidate> chosen = router.choose(this);
    if (chosen.isEmpty()) {
      failWithoutTarget();
      return;
    }
    Candidate candidate = chosen.get();
    if (candidate.isResident()) {
      router.waitingFlows().remove(this);
      sendInTurn(candidate.target());
    } else {
      awaitLoad(candidate);
    }
  }

  private void failWithoutTarget() {
    List<TargetEntry> targets = router.view().targetsOf(service);
    if (targets.stream().anyMatch(router::isLimited)) {
      refuseOrAbort("targets_limited", RetryAdvice.Cause.TARGETS_BUSY);
    } else if (targets.stream().anyMatch(target -> router.isAtConnectionLimit(target, this))) {
      refuseOrAbort("connection_limit", RetryAdvice.Cause.TARGETS_BUSY);
    } else {
      String code = targets.isEmpty() ? "no_target" : "no_target_left";
      refuseOrAbort(code, RetryAdvice.Cause.NO_OWNER);
    }
  }

  /**
   * Returns how long the request may wait for its turn at a target that limits requests. A longer
   * wait would make it late, and all requests behind it.
   */
  long maxSendDelayMs() {
    return Math.max(0, route.targetLatencyMs() / 2 - ageMs());
  }

  /** Sends the request as soon as the limit of the target allows. */
  private void sendInTurn(TargetEntry target) {
    if (turnWait.takeTurn(target, next -> guard(() -> onTurn(next)))) {
      send(target);
    }
  }

  private void onTurn(TargetEntry target) {
    if (router.crashWatch().findRefused(traits).isEmpty() && router.canRun(target, this)) {
      send(target);
    } else {
      dispatch();
    }
  }

  /**
   * Ends a request without an answer: refuses it as not run, with a time to retry after, or calls
   * {@link #abort} if it may have run.
   */
  private void refuseOrAbort(String code, RetryAdvice.Cause cause) {
    if (isAnswerStarted() || runs > 0) {
      abort(code);
    } else {
      long leftMs = Math.max(0, callerDeadlineMs - ControlThread.nowMs());
      fail(503, code, RetryAdvice.retryAfterMs(cause, leftMs, router.randomFraction()));
    }
  }

  /**
   * Ends a request that may have run: cuts off an answer that has begun, or else answers 502, which
   * leaves the outcome unknown.
   */
  private void abort(String code) {
    if (isAnswerStarted()) {
      finish(code, 0);
      reply.abort();
    } else {
      fail(502, code, 0);
    }
  }

  private void awaitLoad(Candidate candidate) {
    long nowMs = ControlThread.nowMs();
    String engine = candidate.target().id();
    if (loadWait.isOverdueAt(engine, nowMs)) {
      excludedTargetIds.add(engine);
      loadWait.abandon();
      dispatch();
      return;
    }
    router.waitingFlows().add(this);
    loadWait.waitFor(engine, candidate.canLoad(), router.view().declaredVersion(adapter), nowMs);
  }

  private void send(TargetEntry target) {
    if (!quota.tryTakeRun(runs + unsettledAttempts)) {
      refuseBeyondQuota();
      return;
    }
    Attempt attempt = createAttempt(target);
    currentAttempt = attempt;
    sentAfterMs = ageMs();
    lastTargetId = target.id();
    transmit(attempt);
    if (hedgeRace != null && runs == 0) {
      hedgeRace.scheduleHedge(attempt);
    }
  }

  Attempt createAttempt(TargetEntry target) {
    return new Attempt(this, router, target, eventSplitter);
  }

  void transmit(Attempt attempt) {
    if (retryReserved) {
      retryReserved = false;
      router.retryBudget(service).recordRetry(ControlThread.nowMs());
    }
    unsettledAttempts++;
    TargetEntry target = attempt.target();
    long version = adapter == null ? 0 : router.view().declaredVersion(adapter);
    String lastEventId = eventSplitter == null ? null : eventSplitter.lastEventId();
    TargetRequest targetRequest = targetRequests.create(target, version, lastEventId);
    router.loadTracker().recordSent(target.id(), adapter);
    router.connections().send(target, targetRequest, attempt, attempt::onConnected);
    if (route.isIdempotent()) {
      long leftMs = deadlineMs - ControlThread.nowMs();
      long headTimeoutMs = Math.max(MIN_HEAD_TIMEOUT_MS, (long) (HEAD_TIMEOUT_FRACTION * leftMs));
      attempt.setHeadTimer(schedule(() -> onHeadTimeout(attempt), headTimeoutMs));
    }
  }

  private void refuseBeyondQuota() {
    if (isAnswerStarted() || runs > 0) {
      abort(QUOTA_EXCEEDED);
    } else {
      fail(429, QUOTA_EXCEEDED, quota.retryAfterMs());
    }
  }

  /**
   * Cancels an attempt of an idempotent request without an answer so far, and retries at another
   * target if there is one.
   */
  private void onHeadTimeout(Attempt attempt) {
    if (attempt.isClosed() || attempt.hasHead()) {
      return;
    }
    if (isHedged()) {
      attempt.cancel();
      onAttemptLost(attempt, new SendFailure.Silent("no answer in time"), false);
    } else if (router.hasOtherTarget(this, attempt.target()) && tryTakeRetry()) {
      attempt.cancel();
      onAttemptLost(attempt, new SendFailure.Silent("no answer in time"), true);
    }
  }

  /** Takes a retry from the budget if the route allows another run after one more. */
  boolean tryTakeRetry() {
    return tryTakeRetry(runs + 1);
  }

  private boolean tryTakeRetry(int runsSoFar) {
    boolean mayRunAgain =
        isAnswerStarted() ? canResume() : route.isIdempotent() || route.resumable();
    if (!mayRunAgain || runsSoFar >= route.maxAttempts() || !quota.tryTakeRun(runsSoFar)) {
      return false;
    }
    boolean isReserved = tryReserveRetry();
    if (!isReserved) {
      quota.settle(runsSoFar);
    }
    return isReserved;
  }

  /** Reserves the retry that the next {@link #send} uses, unless one is reserved already. */
  boolean tryReserveRetry() {
    retryReserved = retryReserved || router.tryReserveRetry(service);
    return retryReserved;
  }

  /** Returns whether another target can go on with the answer that the caller has in part. */
  private boolean canResume() {
    return eventSplitter != null && eventSplitter.canResume();
  }

  void onRejected(Attempt attempt, int status) {
    rejections++;
    unsettledAttempts--;
    if (!router.recordRejection(attempt.target(), adapter, status)) {
      excludedTargetIds.add(attempt.target().id());
    }
    if (hasAttemptLeft()) {
      giveSecondRunBack();
      return;
    }
    if (rejections < MAX_REJECTIONS && tryReserveRetry()) {
      dispatch();
    } else {
      refuseOrAbort("rejected_by_targets", RetryAdvice.Cause.TARGETS_BUSY);
    }
  }

  void onAttemptLost(Attempt attempt, SendFailure failure, boolean retryAlreadyGranted) {
    long nowMs = ControlThread.nowMs();
    RequestLog.attemptLost(requestId, attempt, failure, isAnswerStarted(), traits);
    if (failure instanceof SendFailure.NotSent) {
      connectFailures++;
      unsettledAttempts--;
      router.health().recordUnreachable(attempt.target().id(), nowMs);
      excludedTargetIds.add(attempt.target().id());
      if (hasAttemptLeft()) {
        giveSecondRunBack();
        return;
      }
      if (connectFailures < MAX_CONNECT_FAILURES) {
        dispatch();
      } else {
        refuseOrAbort("targets_unreachable", RetryAdvice.Cause.NO_OWNER);
      }
      return;
    }
    runs++;
    unsettledAttempts--;
    router.health().recordFailure(attempt.target().id(), nowMs);
    if (failure instanceof SendFailure.ConnectionLost) {
      router.crashWatch().onAttemptLost(attempt.target(), traits, attempt.isAnswerConfirmed());
    } else if (failure instanceof SendFailure.Silent) {
      attempt.recordTimeOut();
    }
    if (hasAttemptLeft()) {
      excludedTargetIds.add(attempt.target().id());
      return;
    }
    if (retryAlreadyGranted || tryTakeRetry(runs)) {
      if (eventSplitter != null) {
        eventSplitter.takeIncomplete();
      }
      excludedTargetIds.add(attempt.target().id());
      dispatch();
    } else {
      abort(isAnswerStarted() ? "broken_off" : "answer_lost");
    }
  }

  private void fail(int status, String code, long retryAfterMs) {
    if (ended) {
      return;
    }
    finish(code, status);
    reply.fail(status, code, retryAfterMs);
  }

  private void finish(String code, int status) {
    ended = true;
    turnWait.giveUp();
    quota.settle(runs + unsettledAttempts);
    if (retryReserved) {
      retryReserved = false;
      router.retryBudget(service).releaseRetry();
    }
    router.activeFlows().remove(this);
    deadlineTimer.cancel(false);
    if (refusalTimer != null) {
      refusalTimer.cancel(false);
    }
    router.waitingFlows().remove(this);
    router.metrics().count("request.ended." + code);
    RequestLog.requestEnded(
        new RequestLog.End(
            requestId,
            route.name(),
            admission.tenantName(),
            code,
            status,
            lastTargetId,
            adapter,
            loadWait.engine(),
            runs,
            rejections,
            sentAfterMs,
            firstByteAfterMs,
            ageMs()));
  }

  private long ageMs() {
    return ControlThread.nowMs() - request.arrivedMs();
  }

  private void onDeadline() {
    if (ended) {
      return;
    }
    boolean isSent = currentAttempt != null;
    if (hedgeRace != null) {
      hedgeRace.cancelAsLate();
    }
    if (isSent) {
      currentAttempt.cancelAsLate();
    }
    if (isAnswerStarted()) {
      abort("deadline");
    } else if (isSent || runs > 0) {
      fail(504, "deadline", 0);
    } else {
      refuseOrAbort("adapter_not_loaded", RetryAdvice.Cause.LOADS_QUEUED);
    }
  }

  @Override
  public void onCallerDisconnected() {
    if (ended) {
      return;
    }
    cancelAttempts();
    finish("caller_gone", 0);
  }

  @Override
  public void onCallerWritable() {
    if (currentAttempt != null) {
      currentAttempt.resumeReading();
    }
  }

  CallerRequest request() {
    return request;
  }

  Reply reply() {
    return reply;
  }

  boolean isStream() {
    return route.kind() == RequestKind.STREAM;
  }

  /** Returns whether the caller has got the head of an answer. */
  boolean isAnswerStarted() {
    return answerHead != null;
  }

  /** Returns the head that the caller has got; null before that. */
  HttpResponse answerHead() {
    return answerHead;
  }

  /** Passes the head of a streamed answer on; from now on the request cannot be refused. */
  void startAnswer(HttpResponse head) {
    answerHead = head;
    boolean hasBody = !HttpMethod.HEAD.equals(request.method());
    if (eventSplitter != null && hasBody && HttpUtil.isContentLengthSet(head)) {
      // Another target may continue the stream with an answer of another length.
      HttpUtil.setTransferEncodingChunked(head, true);
    }
    reply.writeHead(head);
  }

  /** Goes on with the other attempt if two are in flight. */
  void onAttemptClosed(Attempt attempt) {
    currentAttempt = hedgeRace == null ? null : hedgeRace.onAttemptClosed(attempt, currentAttempt);
    if (currentAttempt != null) {
      lastTargetId = currentAttempt.target().id();
    }
  }

  /** Returns whether two attempts are in flight. */
  boolean isHedged() {
    return hedgeRace != null && hedgeRace.isRunning();
  }

  /** Returns whether the other one of two attempts is in flight after one has ended. */
  private boolean hasAttemptLeft() {
    return currentAttempt != null;
  }

  /** Lets an attempt answer the request; no byte of an answer is passed on before. */
  void onAnswerChosen(Attempt attempt) {
    if (hedgeRace != null) {
      hedgeRace.onAnswerChosen(attempt, currentAttempt);
    }
  }

  /** Takes the cost of a second run; returns false if the quota has no room. */
  boolean tryTakeSecondRun() {
    return quota.tryTakeRun(runs + unsettledAttempts);
  }

  /** Gives back the cost of a second run that does not take place. */
  void giveSecondRunBack() {
    quota.settle(runs + unsettledAttempts);
  }

  /** Settles an attempt that the other one has overtaken; it is a run only if it was sent. */
  void settleOvertaken(Attempt attempt) {
    unsettledAttempts--;
    runs += attempt.isSent() ? 1 : 0;
  }

  /** Records an answer that is no success, while the other attempt goes on. */
  void onAnswerRejected(Attempt attempt, boolean isFailure) {
    runs++;
    unsettledAttempts--;
    excludedTargetIds.add(attempt.target().id());
    if (isFailure) {
      router.health().recordFailure(attempt.target().id(), ControlThread.nowMs());
    }
  }

  void onFirstByte() {
    firstByteAfterMs = ageMs();
  }

  /** Ends the request, whose answer is complete; the attempt then passes the rest of it on. */
  void onAnswered(int status) {
    runs++;
    unsettledAttempts--;
    finish("answered", status);
  }

  /** Sends the request again after an answer that is not passed on, unless it may not run again. */
  void onAnswerDiscarded(TargetEntry target, boolean retryGranted) {
    runs++;
    unsettledAttempts--;
    router.health().recordFailure(target.id(), ControlThread.nowMs());
    excludedTargetIds.add(target.id());
    if (retryGranted || tryTakeRetry(runs)) {
      dispatch();
    } else {
      abort("resume_failed");
    }
  }
}
