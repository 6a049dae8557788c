package org.apricotstand.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.RetryAdvice;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.front.CallHandler;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.EndToEnd;
import org.apricotstand.front.Reply;
import org.apricotstand.observe.EventLog;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.upstream.AnswerListener;
import org.apricotstand.upstream.SendFailure;
import org.apricotstand.upstream.TargetConnection;
import org.apricotstand.upstream.TargetRequest;

/**
 * The course of one request. It waits for its adapter if need be, is sent to one target at a time,
 * and is sent again only when that is allowed: after proof that it did not run, or when it may run
 * more than once.
 */
final class RequestFlow implements CallHandler.ActiveCall {

  private static final EventLog LOG = EventLog.of(RequestFlow.class);
  private static final long NEVER = -1;
  private static final int MAX_REJECTIONS = 4;
  private static final int MAX_CONNECT_FAILURES = 4;
  private static final long ANSWER_MARGIN_MS = 20;
  private static final long REPEAT_DEMAND_MS = 400;

  /** Usual time from the beginning of a load until the first byte of an answer. */
  private static final long LOAD_AND_READ_MS = 450;

  private static final long LOAD_PATIENCE_MS = 2_000;

  /** A refusal that is sent this long before the caller leaves still reaches it. */
  private static final long PATIENCE_MARGIN_MS = 350;

  private static final long MIN_HEDGE_MS = 100;
  private static final double HEDGE_PART = 0.35;
  private static final int URGENCY_STEP = 2;
  private static final int MAX_URGENCY = 9;

  private final RequestRouter router;
  private final CallerRequest request;
  private final Reply reply;
  private final Route route;
  private final String service;
  private final String id;
  private final AdapterKey adapter;
  private final long deadlineMs;
  private final long callerDeadlineMs;
  private final Set<String> excluded = new HashSet<>();
  private final EventSplitter events;
  private ScheduledFuture<?> deadline;
  private ScheduledFuture<?> patience;
  private String wantedFrom;
  private long wantedAtMs;
  private long wantedSinceMs;
  private Attempt attempt;
  private String lastTarget = "";
  private int runs;
  private int rejections;
  private int connectFailures;
  private long sentAfterMs = NEVER;
  private long firstByteAfterMs = NEVER;
  private boolean answering;
  private boolean ended;

  RequestFlow(
      RequestRouter router, CallerRequest request, Reply reply, Route route, String service) {
    this.router = router;
    this.request = request;
    this.reply = reply;
    this.route = route;
    this.service = service;
    this.id = request.headers().get(router.names().requestId());
    String model = request.headers().get(router.names().model());
    boolean engine =
        router.view().plan().service(service).flatMap(spec -> spec.engine()).isPresent();
    this.adapter = engine && model != null ? AdapterKey.parse(model) : null;
    this.callerDeadlineMs = request.arrivedMs() + callerWaitsMs(request.headers());
    this.deadlineMs =
        Math.min(callerDeadlineMs, request.arrivedMs() + route.timeoutMs()) - ANSWER_MARGIN_MS;
    this.events = route.resumable() ? new EventSplitter() : null;
  }

  private long callerWaitsMs(HttpHeaders headers) {
    String text = headers.get(router.names().deadlineMs());
    return text != null && text.matches("\\d{1,9}") ? Long.parseLong(text) : route.timeoutMs();
  }

  String service() {
    return service;
  }

  AdapterKey adapter() {
    return adapter;
  }

  boolean excludes(TargetEntry target) {
    return excluded.contains(target.id());
  }

  /** Returns whether the request waits for a load at the target. */
  boolean hasAsked(TargetEntry target) {
    return target.id().equals(wantedFrom);
  }

  void start() {
    long leftMs = Math.max(0, deadlineMs - ControlThread.nowMs());
    deadline = router.loop().schedule(this::deadlinePassed, leftMs, TimeUnit.MILLISECONDS);
    if (adapter != null) {
      router.board().arrived(adapter);
      long leavesAtMs = request.arrivedMs() + route.firstByteTimeoutMs() - PATIENCE_MARGIN_MS;
      long waitsMs = Math.max(0, leavesAtMs - ControlThread.nowMs());
      patience = router.loop().schedule(this::patienceEnded, waitsMs, TimeUnit.MILLISECONDS);
    }
    dispatch();
  }

  /** Refuses a request whose adapter does not arrive before its caller leaves. */
  private void patienceEnded() {
    if (!ended && attempt == null) {
      giveUp("adapter_not_loaded", RetryAdvice.Cause.LOADS_QUEUED);
    }
  }

  /** Looks again for a target, after what is known has changed. */
  void reconsider() {
    if (!ended && attempt == null) {
      dispatch();
    }
  }

  private void dispatch() {
    Optional<Candidate> chosen = router.choose(this);
    if (chosen.isEmpty()) {
      noTarget();
      return;
    }
    Candidate candidate = chosen.get();
    if (candidate.isResident()) {
      router.waiting().remove(this);
      send(candidate.target());
    } else {
      await(candidate);
    }
  }

  private void noTarget() {
    boolean hasTargets = !router.view().targetsOf(service).isEmpty();
    giveUp(hasTargets ? "no_target_left" : "no_target", RetryAdvice.Cause.NO_OWNER);
  }

  /** Ends the request truthfully: not run, if it was not, or else as {@link #breakOff} does. */
  private void giveUp(String code, RetryAdvice.Cause cause) {
    if (answering || runs > 0) {
      breakOff(code);
    } else {
      long leftMs = Math.max(0, callerDeadlineMs - ControlThread.nowMs());
      fail(503, code, RetryAdvice.retryAfterMs(cause, leftMs, router.draw()));
    }
  }

  /** Ends a request that may have run: its answer is cut, or the outcome is unknown. */
  private void breakOff(String code) {
    if (answering) {
      finish(code, 0);
      reply.abort();
    } else {
      fail(502, code, 0);
    }
  }

  private void await(Candidate candidate) {
    long nowMs = ControlThread.nowMs();
    String engine = candidate.target().id();
    boolean sameEngine = engine.equals(wantedFrom);
    if (sameEngine && nowMs - wantedSinceMs > LOAD_PATIENCE_MS) {
      // The engine or its owner does not get on with the load: look elsewhere.
      excluded.add(engine);
      wantedFrom = null;
      dispatch();
      return;
    }
    if (!sameEngine) {
      wantedSinceMs = nowMs;
    }
    boolean asked = sameEngine && nowMs - wantedAtMs < REPEAT_DEMAND_MS;
    router.waiting().add(this);
    if (!asked && candidate.canLoad()) {
      wantedFrom = engine;
      wantedAtMs = nowMs;
      // Asked again while the request waits, so that nothing is loaded for callers that left.
      long untilMs = Math.min(deadlineMs, nowMs + 2 * REPEAT_DEMAND_MS);
      long onTimeUntilMs = request.arrivedMs() + route.targetLatencyMs() - LOAD_AND_READ_MS;
      long version = router.view().versionOf(adapter);
      router.fleet().want(engine, new SlotEvent.Wanted(adapter, version, untilMs, onTimeUntilMs));
    }
  }

  private void send(TargetEntry target) {
    attempt = new Attempt(target);
    sentAfterMs = ageMs();
    lastTarget = target.id();
    TargetRequest sent =
        new TargetRequest(id, request.method(), request.uri(), headersFor(target), request.body());
    router.board().sent(target.id(), adapter);
    Attempt current = attempt;
    router.connections().send(target, sent, current, current::connected);
    if (route.isIdempotent()) {
      long leftMs = deadlineMs - ControlThread.nowMs();
      long patienceMs = Math.max(MIN_HEDGE_MS, (long) (HEDGE_PART * leftMs));
      router.loop().schedule(() -> giveUpOn(current), patienceMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Turns to another target when one does not answer an idempotent request in time. */
  private void giveUpOn(Attempt silent) {
    if (silent.over || silent.head != null) {
      return;
    }
    if (hasOtherTarget(silent.target) && mayRunAgainAfter(runs + 1)) {
      silent.cancel();
      lost(silent, new SendFailure.Silent("no answer in time"), true);
    }
  }

  private boolean hasOtherTarget(TargetEntry target) {
    return router.view().targetsOf(service).stream()
        .anyMatch(other -> !other.id().equals(target.id()) && !excludes(other));
  }

  private HttpHeaders headersFor(TargetEntry target) {
    HttpHeaders headers = EndToEnd.without(request.headers(), router.names().reserved());
    long leftMs = Math.max(1, callerDeadlineMs - ControlThread.nowMs());
    headers.set(router.names().deadlineMs(), leftMs);
    headers.set(router.names().expectTarget(), target.id());
    headers.set(router.names().urgency(), Math.min(MAX_URGENCY, 1 + URGENCY_STEP * route.rank()));
    if (adapter != null && router.view().versionOf(adapter) > 0) {
      headers.set(router.names().expectVersion(), router.view().versionOf(adapter));
    }
    if (events != null && events.lastEventId() != null) {
      headers.set(router.names().lastEventId(), events.lastEventId());
    }
    if (request.body().length > 0 || declaresBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return headers;
  }

  private boolean declaresBody() {
    return request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  /** Takes a repeat from the budget if the route allows one after so many runs. */
  private boolean mayRunAgainAfter(int runsSoFar) {
    boolean repeatable = route.isIdempotent() || route.resumable();
    return repeatable && runsSoFar < route.maxAttempts() && router.tryRepeat(service);
  }

  private void notRun(Attempt rejected, int status) {
    rejections++;
    excludeOrReport(rejected.target, status);
    if (rejections < MAX_REJECTIONS && router.tryRepeat(service)) {
      dispatch();
    } else {
      giveUp("rejected_by_targets", RetryAdvice.Cause.TARGETS_BUSY);
    }
  }

  private void excludeOrReport(TargetEntry target, int status) {
    long nowMs = ControlThread.nowMs();
    if (adapter == null) {
      excluded.add(target.id());
      router.health().recordFailure(target.id(), nowMs);
    } else if (status == 421) {
      router.noteMissing(target.id(), adapter);
    } else {
      router.health().recordFailure(target.id(), nowMs);
      excluded.add(target.id());
    }
  }

  private void lost(Attempt broken, SendFailure failure, boolean repeatGranted) {
    long nowMs = ControlThread.nowMs();
    LOG.info(
        "attempt_lost",
        "request",
        id,
        "target",
        broken.target.id(),
        "failure",
        failure.getClass().getSimpleName(),
        "detail",
        failure.detail(),
        "answering",
        answering);
    if (failure instanceof SendFailure.NotSent) {
      connectFailures++;
      router.health().recordUnreachable(broken.target.id(), nowMs);
      excluded.add(broken.target.id());
      if (connectFailures < MAX_CONNECT_FAILURES) {
        dispatch();
      } else {
        giveUp("targets_unreachable", RetryAdvice.Cause.NO_OWNER);
      }
      return;
    }
    runs++;
    router.health().recordFailure(broken.target.id(), nowMs);
    if (failure instanceof SendFailure.ConnectionLost) {
      router.suspectCrash(request, broken.target);
    }
    if (repeatGranted || mayRunAgainAfter(runs)) {
      if (events != null) {
        events.takeIncomplete();
      }
      excluded.add(broken.target.id());
      dispatch();
    } else {
      breakOff(answering ? "broken_off" : "answer_lost");
    }
  }

  private void fail(int status, String code, long comeBackMs) {
    if (ended) {
      return;
    }
    finish(code, status);
    reply.fail(status, code, comeBackMs);
  }

  private void finish(String code, int status) {
    ended = true;
    deadline.cancel(false);
    if (patience != null) {
      patience.cancel(false);
    }
    router.waiting().remove(this);
    router.metrics().count("request.ended." + code);
    LOG.info(
        "request_ended",
        "request",
        id,
        "route",
        route.name(),
        "code",
        code,
        "status",
        status,
        "target",
        lastTarget,
        "adapter",
        adapter,
        "wanted_from",
        wantedFrom,
        "runs",
        runs,
        "rejections",
        rejections,
        "sent_after_ms",
        sentAfterMs,
        "first_byte_after_ms",
        firstByteAfterMs,
        "age_ms",
        ageMs());
  }

  private long ageMs() {
    return ControlThread.nowMs() - request.arrivedMs();
  }

  private void deadlinePassed() {
    if (ended) {
      return;
    }
    Attempt current = attempt;
    if (current != null) {
      current.cancel();
    }
    if (answering) {
      breakOff("deadline");
    } else if (current != null || runs > 0) {
      fail(504, "deadline", 0);
    } else {
      giveUp("adapter_not_loaded", RetryAdvice.Cause.LOADS_QUEUED);
    }
  }

  @Override
  public void callerGone() {
    if (ended) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    finish("caller_gone", 0);
  }

  @Override
  public void callerWritable() {
    if (attempt != null && attempt.connection != null) {
      attempt.connection.setReading(true);
    }
  }

  /** One sending of the request to one target. */
  private final class Attempt implements AnswerListener {

    private final TargetEntry target;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private TargetConnection connection;
    private HttpResponse head;
    private boolean discarding;
    private boolean repeatGranted;
    private boolean started;
    private boolean over;

    Attempt(TargetEntry target) {
      this.target = target;
    }

    boolean connected(TargetConnection carrier) {
      if (over) {
        return false;
      }
      connection = carrier;
      return true;
    }

    void cancel() {
      leave();
      if (connection != null) {
        connection.cancel();
      }
    }

    private void leave() {
      if (!over) {
        over = true;
        attempt = null;
        router.board().ended(target.id(), adapter, started);
      }
    }

    @Override
    public void onHead(HttpResponse answer) {
      head = answer;
      if (isUnsignedSuccess()) {
        TargetConnection carrier = connection;
        onBroken(new SendFailure.Malformed("success without signature"));
        carrier.cancel();
        return;
      }
      repeatGranted = !isNotExecuted() && isFailure() && mayRunAgainAfter(runs + 1);
      discarding = isNotExecuted() || repeatGranted;
      if (discarding) {
        return;
      }
      if (answering) {
        discarding = answer.status().code() != 200;
      } else if (isStreamed()) {
        answering = true;
        reply.head(answer);
      }
    }

    private boolean isUnsignedSuccess() {
      return head.status().code() / 100 == 2
          && !head.headers().contains(router.names().signature());
    }

    private boolean isNotExecuted() {
      return head.status().code() == 421 || head.headers().contains(router.names().notExecuted());
    }

    private boolean isFailure() {
      return head.status().code() >= 500;
    }

    private boolean isStreamed() {
      return route.kind() == RequestKind.STREAM && head.status().code() == 200;
    }

    @Override
    public void onPart(ByteBuf part) {
      if (!started) {
        started = true;
        firstByteAfterMs = ageMs();
        router.board().started(target.id());
      }
      if (discarding) {
        return;
      }
      if (!isStreamed()) {
        buffered.writeBytes(ByteBufUtil.getBytes(part));
      } else if (events != null) {
        passEvents(events.feed(ByteBufUtil.getBytes(part)));
      } else {
        reply.part(part);
      }
      if (answering && !reply.isWritable()) {
        connection.setReading(false);
      }
    }

    private void passEvents(byte[] whole) {
      if (whole.length > 0) {
        ByteBuf passed = Unpooled.wrappedBuffer(whole);
        reply.part(passed);
        passed.release();
      }
    }

    @Override
    public void onEnd() {
      if (over) {
        return;
      }
      leave();
      if (discarding) {
        discarded();
        return;
      }
      runs++;
      long nowMs = ControlThread.nowMs();
      if (isFailure()) {
        router.health().recordFailure(target.id(), nowMs);
      } else {
        router.health().recordSuccess(target.id(), nowMs);
      }
      finish("answered", head.status().code());
      if (!isStreamed()) {
        // The whole body is here, so that its length is known whatever framed it.
        if (head.status().code() != 204 && head.status().code() != 304) {
          head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyLength());
        }
        head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        reply.head(head);
        passEvents(buffered.toByteArray());
      } else if (events != null) {
        passEvents(events.takeIncomplete());
      }
      reply.end();
    }

    private String bodyLength() {
      String declared = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
      boolean bodiless = HttpMethod.HEAD.equals(request.method());
      return bodiless && declared != null ? declared : Integer.toString(buffered.size());
    }

    private void discarded() {
      if (isNotExecuted()) {
        notRun(this, head.status().code());
        return;
      }
      runs++;
      router.health().recordFailure(target.id(), ControlThread.nowMs());
      excluded.add(target.id());
      if (repeatGranted || mayRunAgainAfter(runs)) {
        dispatch();
      } else {
        breakOff("resume_failed");
      }
    }

    @Override
    public void onBroken(SendFailure failure) {
      if (over) {
        return;
      }
      leave();
      if (discarding && isNotExecuted()) {
        notRun(this, head.status().code());
      } else {
        lost(this, failure, false);
      }
    }
  }
}
