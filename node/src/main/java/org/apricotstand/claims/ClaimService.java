package org.apricotstand.claims;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apricotstand.claim.BatchAction;
import org.apricotstand.claim.BatchEvent;
import org.apricotstand.claim.ClaimAction;
import org.apricotstand.claim.ClaimBatcher;
import org.apricotstand.claim.ClaimCodes;
import org.apricotstand.claim.ClaimEvent;
import org.apricotstand.claim.ClaimHash;
import org.apricotstand.claim.ClaimMachine;
import org.apricotstand.claim.ClaimOutcome;
import org.apricotstand.claim.ClaimRow;
import org.apricotstand.claim.ClaimWrite;
import org.apricotstand.claim.StoredAnswer;
import org.apricotstand.claim.StoredClaim;
import org.apricotstand.claim.WriteResult;
import org.apricotstand.control.ControlThread;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;
import org.apricotstand.platform.TableService;

/**
 * Claims requests that must run at most once, and answers duplicates that wait for the outcome of a
 * claim of this instance. All methods run on the control thread.
 *
 * <pre>{@code
 * claims.claim("orders", idempotencyKey, fingerprint, deadlineMs, call);
 * }</pre>
 */
public final class ClaimService implements Service, PeerListener {

  /**
   * Minimum time between two transactions of claims. A single claim is committed at once. An
   * instance sends at most 50 transactions/s and seven instances 350/s, which fits the several
   * hundred writes/s that the table service allows.
   */
  private static final long MIN_BATCH_INTERVAL_MS = 20;

  private static final String LOCAL = "local";

  private final InstanceId self;
  private final long incarnation;
  private final ControlThread control;
  private final PeerSender peers;
  private final Metrics metrics;
  private final ClaimTable table;
  private final ClaimSweeper sweeper;
  private final ClaimBatcher batcher = new ClaimBatcher(MIN_BATCH_INTERVAL_MS);
  private final Map<String, ActiveClaim> activeClaims = new LinkedHashMap<>();
  private final Map<String, InstanceId> askedHolderByNonce = new HashMap<>();
  private long nextNonce = 1;

  /** Claimed requests whose callers wait for an outcome; read by the metrics thread. */
  private volatile int pendingCalls;

  private record ActiveClaim(String key, ClaimMachine machine, ClaimedCall call, long startedMs) {}

  /**
   * Creates the service.
   *
   * @param incarnation number of this start of the process
   * @param random seeded generator for the times at which old claims are removed
   */
  public ClaimService(
      InstanceId self,
      long incarnation,
      ControlThread control,
      PeerSender peers,
      TableService tables,
      Metrics metrics,
      RandomGenerator random) {
    this.self = self;
    this.incarnation = incarnation;
    this.control = control;
    this.peers = peers;
    this.metrics = metrics;
    this.table = new ClaimTable(tables);
    this.sweeper = new ClaimSweeper(control, table, metrics, random);
  }

  @Override
  public void start() {
    metrics.gauge("claims.pending", () -> pendingCalls);
    sweeper.start();
  }

  /** Claims a request and runs it at most once, or waits for the outcome of an earlier attempt. */
  public void claim(
      String service,
      String idempotencyKey,
      String fingerprint,
      long deadlineMs,
      ClaimedCall call) {
    String key = ClaimHash.key(service, idempotencyKey);
    String nonce =
        self.value() + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-" + nextNonce++;
    ClaimRow row =
        new ClaimRow(
            ClaimRow.State.CLAIMED,
            self.value(),
            incarnation,
            nonce,
            fingerprint,
            System.currentTimeMillis(),
            null);
    ClaimMachine machine = new ClaimMachine(key, row, deadlineMs);
    activeClaims.put(nonce, new ActiveClaim(key, machine, call, ControlThread.nowMs()));
    addPending(1);
    handle(nonce, new ClaimEvent.RequestReceived());
  }

  /** Returns whether every claim of this instance has ended. */
  public boolean isIdle() {
    return activeClaims.values().stream().allMatch(claim -> claim.machine().isEnded());
  }

  /** Changes the number of pending calls; only the control thread writes it. */
  private void addPending(int change) {
    pendingCalls = pendingCalls + change;
  }

  private void handle(String nonce, ClaimEvent event) {
    ActiveClaim claim = activeClaims.get(nonce);
    if (claim != null) {
      List<ClaimAction> actions = claim.machine().handle(event, ControlThread.nowMs());
      actions.forEach(action -> perform(nonce, claim, action));
    }
  }

  private void perform(String nonce, ActiveClaim claim, ClaimAction action) {
    switch (action) {
      case ClaimAction.Write(ClaimWrite write) ->
          handleBatchEvent(new BatchEvent.WriteSubmitted(write));
      case ClaimAction.Read(String key) ->
          table
              .read(key)
              .handle((result, error) -> error == null ? eventOf(result) : readFailed())
              .thenAccept(event -> control.execute(() -> handle(nonce, event)));
      case ClaimAction.Dispatch dispatch -> {
        metrics.count("claims.claimed");
        claim.call().dispatch(event -> control.execute(() -> handle(nonce, event)));
      }
      case ClaimAction.AskHolder ask -> askHolder(nonce, claim, ask);
      case ClaimAction.ReplyToCaller(ClaimOutcome outcome) -> replyToCaller(nonce, claim, outcome);
      case ClaimAction.ReplyToWaiter(String waitId, ClaimOutcome outcome) ->
          replyToWaiter(waitId, outcome);
      case ClaimAction.SetTimer(long dueMs) ->
          control.executeAt(dueMs, () -> handle(nonce, new ClaimEvent.TimerFired()));
      case ClaimAction.DiscardMachine discard -> activeClaims.remove(nonce);
    }
  }

  private void replyToCaller(String nonce, ActiveClaim claim, ClaimOutcome outcome) {
    askedHolderByNonce.remove(nonce);
    addPending(-1);
    long ageMs = ControlThread.nowMs() - claim.startedMs();
    metrics.time("claims.pending_age", TimeUnit.MILLISECONDS.toNanos(ageMs));
    if (!claim.machine().dispatched()) {
      switch (outcome) {
        case ClaimOutcome.Answered answered -> metrics.count("claims.duplicates_answered");
        case ClaimOutcome.Unknown(Failure failure)
            when failure.code().equals(ClaimCodes.WAIT_TIMED_OUT) ->
            metrics.count("claims.waits_timed_out");
        case ClaimOutcome.Unknown unknown -> metrics.count("claims.duplicates_unknown");
        case ClaimOutcome.NotRun notRun -> metrics.count("claims.refused");
      }
    }
    claim.call().finish(outcome);
  }

  private static ClaimEvent eventOf(Result<Optional<StoredClaim>> result) {
    return switch (result) {
      case Result.Ok<Optional<StoredClaim>>(Optional<StoredClaim> row) ->
          new ClaimEvent.RowRead(row);
      case Result.Failed<Optional<StoredClaim>> failed -> readFailed();
    };
  }

  private static ClaimEvent readFailed() {
    return new ClaimEvent.ReadFailed();
  }

  private void handleBatchEvent(BatchEvent event) {
    for (BatchAction action : batcher.handle(event, ControlThread.nowMs())) {
      switch (action) {
        case BatchAction.Commit(long batchId, List<ClaimWrite> writes) -> {
          metrics.count("claims.transactions");
          table
              .commit(batchId, writes)
              .thenAccept(result -> control.execute(() -> handleBatchEvent(result)));
        }
        case BatchAction.ReportResult(ClaimWrite write, WriteResult result) ->
            control.execute(() -> handle(write.nonce(), new ClaimEvent.WriteEnded(result)));
        case BatchAction.SetTimer(long dueMs) ->
            control.executeAt(dueMs, () -> handleBatchEvent(new BatchEvent.TimerFired()));
      }
    }
  }

  private void askHolder(String nonce, ActiveClaim claim, ClaimAction.AskHolder ask) {
    if (ask.holder().equals(self.value())) {
      if (ask.holderIncarnation() == incarnation && activeClaims.containsKey(ask.nonce())) {
        ClaimEvent waitRequested =
            new ClaimEvent.WaitRequested(waitKey(LOCAL, nonce), ask.deadlineMs());
        control.execute(() -> handle(ask.nonce(), waitRequested));
      } else {
        control.execute(() -> handle(nonce, new ClaimEvent.HolderLost()));
      }
      return;
    }
    InstanceId holder = new InstanceId(ask.holder());
    askedHolderByNonce.put(nonce, holder);
    long remainingMs = ask.deadlineMs() - ControlThread.nowMs();
    PeerMessage message = new PeerMessage.ClaimWaited(nonce, claim.key(), ask.nonce(), remainingMs);
    if (!peers.send(holder, message)) {
      control.execute(() -> handle(nonce, new ClaimEvent.HolderLost()));
    }
  }

  private static String waitKey(String from, String waitId) {
    return from + "/" + waitId;
  }

  private void replyToWaiter(String waitKey, ClaimOutcome outcome) {
    int slash = waitKey.indexOf('/');
    String from = waitKey.substring(0, slash);
    String waitId = waitKey.substring(slash + 1);
    if (from.equals(LOCAL)) {
      control.execute(() -> handle(waitId, new ClaimEvent.HolderAnswered(outcome)));
    } else {
      peers.send(new InstanceId(from), messageOf(waitId, outcome));
    }
  }

  private static PeerMessage.ClaimAnswered messageOf(String waitId, ClaimOutcome outcome) {
    return switch (outcome) {
      case ClaimOutcome.Answered(StoredAnswer answer) ->
          new PeerMessage.ClaimAnswered(
              waitId, "answered", answer.status(), answer.headers(), answer.body());
      case ClaimOutcome.NotRun notRun ->
          new PeerMessage.ClaimAnswered(waitId, "not_run", 0, Map.of(), new byte[0]);
      case ClaimOutcome.Unknown unknown ->
          new PeerMessage.ClaimAnswered(waitId, "unknown", 0, Map.of(), new byte[0]);
    };
  }

  private static ClaimOutcome outcomeOf(InstanceId from, PeerMessage.ClaimAnswered answered) {
    return switch (answered.state()) {
      case "answered" ->
          new ClaimOutcome.Answered(
              new StoredAnswer(answered.status(), answered.headers(), answered.body()));
      case "not_run" ->
          new ClaimOutcome.NotRun(
              new Failure(
                  Step.CLAIM,
                  from.value(),
                  ClaimCodes.RELEASED,
                  "an earlier attempt of the request was abandoned before it was sent"));
      default ->
          new ClaimOutcome.Unknown(
              new Failure(
                  Step.CLAIM,
                  from.value(),
                  ClaimCodes.EARLIER_OUTCOME_UNKNOWN,
                  "the outcome of an earlier attempt of the request is unknown"));
    };
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.ClaimWaited waited -> onClaimWaited(from, waited);
      case PeerMessage.ClaimAnswered answered -> {
        if (from.equals(askedHolderByNonce.get(answered.waitId()))) {
          askedHolderByNonce.remove(answered.waitId());
          ClaimOutcome outcome = outcomeOf(from, answered);
          handle(answered.waitId(), new ClaimEvent.HolderAnswered(outcome));
        }
      }
      default -> {}
    }
  }

  private void onClaimWaited(InstanceId from, PeerMessage.ClaimWaited waited) {
    if (activeClaims.containsKey(waited.attemptNonce())) {
      long deadlineMs = ControlThread.nowMs() + waited.remainingMs();
      String waitKey = waitKey(from.value(), waited.waitId());
      handle(waited.attemptNonce(), new ClaimEvent.WaitRequested(waitKey, deadlineMs));
    } else {
      Failure holderLost =
          new Failure(
              Step.CLAIM,
              self.value(),
              ClaimCodes.HOLDER_LOST,
              "this instance does not hold the claim");
      peers.send(from, messageOf(waited.waitId(), new ClaimOutcome.Unknown(holderLost)));
    }
  }

  /**
   * Reports the holder as lost to the attempts that wait for it. A restarted holder needs no
   * separate case, because its new incarnation does not know the claims of the old one.
   */
  @Override
  public void onLinkClosed(InstanceId holder) {
    List<String> waitingNonces =
        askedHolderByNonce.entrySet().stream()
            .filter(wait -> wait.getValue().equals(holder))
            .map(Map.Entry::getKey)
            .toList();
    waitingNonces.forEach(askedHolderByNonce::remove);
    waitingNonces.forEach(nonce -> handle(nonce, new ClaimEvent.HolderLost()));
  }
}
