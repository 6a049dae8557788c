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
import org.apricotstand.claim.ClaimEnding;
import org.apricotstand.claim.ClaimEvent;
import org.apricotstand.claim.ClaimHash;
import org.apricotstand.claim.ClaimMachine;
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
 * Claims requests that must run at most once, and answers repeats that wait for claims of this
 * instance. All methods run on the control thread.
 *
 * <pre>{@code
 * claims.claim("orders", identity, fingerprint, deadlineMs, call);
 * }</pre>
 */
public final class ClaimService implements Service, PeerListener {

  /**
   * Least time between two transactions of claims. A single claim goes at once; at most 50
   * transactions/s leave an instance, 350/s the seven of today, within several hundred writes/s.
   */
  private static final long BATCH_PAUSE_MS = 20;

  private static final String LOCAL = "local";

  private final InstanceId self;
  private final long incarnation;
  private final ControlThread control;
  private final PeerSender peers;
  private final Metrics metrics;
  private final ClaimTable table;
  private final ClaimSweeper sweeper;
  private final ClaimBatcher batcher = new ClaimBatcher(BATCH_PAUSE_MS);
  private final Map<String, Held> held = new LinkedHashMap<>();
  private final Map<String, InstanceId> askedHolders = new HashMap<>();
  private long nextNonce = 1;

  /** Claimed requests whose caller has no ending yet; read by the thread that reports metrics. */
  private volatile int pendingCalls;

  private record Held(String key, ClaimMachine machine, ClaimedCall call, long begunMs) {}

  /**
   * Creates the service.
   *
   * @param incarnation number of this start of the process
   * @param random seeded generator for the times of removals
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

  /** Claims a request and runs it at most once, or waits for the run of an earlier sending. */
  public void claim(
      String service, String identity, String fingerprint, long deadlineMs, ClaimedCall call) {
    String key = ClaimHash.key(service, identity);
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
    held.put(nonce, new Held(key, machine, call, ControlThread.nowMs()));
    countPending(1);
    step(nonce, new ClaimEvent.Begun());
  }

  /** Returns whether every claim of this instance has its ending stored or released. */
  public boolean isIdle() {
    return held.values().stream().allMatch(claim -> claim.machine().isSettled());
  }

  /** Only the control thread writes the count. */
  private void countPending(int change) {
    pendingCalls = pendingCalls + change;
  }

  private void step(String nonce, ClaimEvent event) {
    Held claim = held.get(nonce);
    if (claim != null) {
      List<ClaimAction> actions = claim.machine().handle(event, ControlThread.nowMs());
      actions.forEach(action -> perform(nonce, claim, action));
    }
  }

  private void perform(String nonce, Held claim, ClaimAction action) {
    switch (action) {
      case ClaimAction.Write(ClaimWrite write) -> batch(new BatchEvent.Submitted(write));
      case ClaimAction.Read(String key) ->
          table
              .read(key)
              .handle((result, error) -> error == null ? eventOf(result) : readFailed())
              .thenAccept(event -> control.execute(() -> step(nonce, event)));
      case ClaimAction.Dispatch dispatch -> {
        metrics.count("claims.claimed");
        claim.call().dispatch(event -> control.execute(() -> step(nonce, event)));
      }
      case ClaimAction.AskHolder ask -> ask(nonce, claim, ask);
      case ClaimAction.Finish(ClaimEnding ending) -> finish(nonce, claim, ending);
      case ClaimAction.Reply(String waitId, ClaimEnding ending) -> reply(waitId, ending);
      case ClaimAction.WakeAt(long dueMs) ->
          control.executeAt(dueMs, () -> step(nonce, new ClaimEvent.Woken()));
      case ClaimAction.Retire retire -> held.remove(nonce);
    }
  }

  private void finish(String nonce, Held claim, ClaimEnding ending) {
    askedHolders.remove(nonce);
    countPending(-1);
    long ageMs = ControlThread.nowMs() - claim.begunMs();
    metrics.time("claims.pending_age", TimeUnit.MILLISECONDS.toNanos(ageMs));
    if (!claim.machine().dispatched()) {
      switch (ending) {
        case ClaimEnding.Answered answered -> metrics.count("claims.duplicates_answered");
        case ClaimEnding.Unknown(Failure failure)
            when failure.code().equals(ClaimCodes.WAIT_TIMED_OUT) ->
            metrics.count("claims.waits_timed_out");
        case ClaimEnding.Unknown unknown -> metrics.count("claims.duplicates_unknown");
        case ClaimEnding.NotRun notRun -> metrics.count("claims.refused");
      }
    }
    claim.call().finish(ending);
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

  private void batch(BatchEvent event) {
    for (BatchAction action : batcher.handle(event, ControlThread.nowMs())) {
      switch (action) {
        case BatchAction.Commit(long batchId, List<ClaimWrite> writes) -> {
          metrics.count("claims.transactions");
          table.commit(batchId, writes).thenAccept(ended -> control.execute(() -> batch(ended)));
        }
        case BatchAction.Ended(ClaimWrite write, WriteResult result) ->
            control.execute(() -> step(write.nonce(), new ClaimEvent.WriteEnded(result)));
        case BatchAction.WakeAt(long dueMs) ->
            control.executeAt(dueMs, () -> batch(new BatchEvent.Woken()));
      }
    }
  }

  private void ask(String nonce, Held claim, ClaimAction.AskHolder ask) {
    if (ask.holder().equals(self.value())) {
      if (ask.holderIncarnation() == incarnation && held.containsKey(ask.nonce())) {
        ClaimEvent waited = new ClaimEvent.Waited(waitKey(LOCAL, nonce), ask.deadlineMs());
        control.execute(() -> step(ask.nonce(), waited));
      } else {
        control.execute(() -> step(nonce, new ClaimEvent.HolderLost()));
      }
      return;
    }
    InstanceId holder = new InstanceId(ask.holder());
    askedHolders.put(nonce, holder);
    long remainingMs = ask.deadlineMs() - ControlThread.nowMs();
    PeerMessage message = new PeerMessage.ClaimWaited(nonce, claim.key(), ask.nonce(), remainingMs);
    if (!peers.send(holder, message)) {
      control.execute(() -> step(nonce, new ClaimEvent.HolderLost()));
    }
  }

  private static String waitKey(String from, String waitId) {
    return from + "/" + waitId;
  }

  private void reply(String waitKey, ClaimEnding ending) {
    int slash = waitKey.indexOf('/');
    String from = waitKey.substring(0, slash);
    String waitId = waitKey.substring(slash + 1);
    if (from.equals(LOCAL)) {
      control.execute(() -> step(waitId, new ClaimEvent.HolderAnswered(ending)));
    } else {
      peers.send(new InstanceId(from), messageOf(waitId, ending));
    }
  }

  private static PeerMessage.ClaimAnswered messageOf(String waitId, ClaimEnding ending) {
    return switch (ending) {
      case ClaimEnding.Answered(StoredAnswer answer) ->
          new PeerMessage.ClaimAnswered(
              waitId, "answered", answer.status(), answer.headers(), answer.body());
      case ClaimEnding.NotRun notRun ->
          new PeerMessage.ClaimAnswered(waitId, "not_run", 0, Map.of(), new byte[0]);
      case ClaimEnding.Unknown unknown ->
          new PeerMessage.ClaimAnswered(waitId, "unknown", 0, Map.of(), new byte[0]);
    };
  }

  private static ClaimEnding endingOf(InstanceId from, PeerMessage.ClaimAnswered answered) {
    return switch (answered.state()) {
      case "answered" ->
          new ClaimEnding.Answered(
              new StoredAnswer(answered.status(), answered.headers(), answered.body()));
      case "not_run" ->
          new ClaimEnding.NotRun(
              new Failure(
                  Step.CLAIM,
                  from.value(),
                  ClaimCodes.RELEASED,
                  "the first sending of this request was given up before it was sent"));
      default ->
          new ClaimEnding.Unknown(
              new Failure(
                  Step.CLAIM,
                  from.value(),
                  ClaimCodes.FORMER_UNKNOWN,
                  "the outcome of the first sending could not be learnt"));
    };
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.ClaimWaited waited -> waited(from, waited);
      case PeerMessage.ClaimAnswered answered -> {
        if (from.equals(askedHolders.get(answered.waitId()))) {
          askedHolders.remove(answered.waitId());
          ClaimEnding ending = endingOf(from, answered);
          step(answered.waitId(), new ClaimEvent.HolderAnswered(ending));
        }
      }
      default -> {}
    }
  }

  private void waited(InstanceId from, PeerMessage.ClaimWaited waited) {
    if (held.containsKey(waited.attemptNonce())) {
      long deadlineMs = ControlThread.nowMs() + waited.remainingMs();
      String waitKey = waitKey(from.value(), waited.waitId());
      step(waited.attemptNonce(), new ClaimEvent.Waited(waitKey, deadlineMs));
    } else {
      Failure forgotten =
          new Failure(Step.CLAIM, self.value(), ClaimCodes.HOLDER_LOST, "no such claim here");
      peers.send(from, messageOf(waited.waitId(), new ClaimEnding.Unknown(forgotten)));
    }
  }

  /** A holder that restarted needs no case of its own: its new incarnation knows no old claim. */
  @Override
  public void onLinkClosed(InstanceId holder) {
    List<String> waits =
        askedHolders.entrySet().stream()
            .filter(wait -> wait.getValue().equals(holder))
            .map(Map.Entry::getKey)
            .toList();
    waits.forEach(askedHolders::remove);
    waits.forEach(nonce -> step(nonce, new ClaimEvent.HolderLost()));
  }
}
