package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.apricotstand.lease.PendingCalls.StoreCall;
import org.apricotstand.lease.TargetState.RowWrite;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * State machine that decides which engines of its domain this instance owns. It does no I/O: it
 * turns events into actions for the caller. Confined to the control thread.
 *
 * <pre>{@code
 * List<OwnershipAction> actions = machine.handle(new OwnershipEvent.Tick(), nowMs);
 * Map<TargetId, Rights> rights = machine.rights();
 * }</pre>
 *
 * <p>A lease term that ended never becomes valid again, so an owner row that names an ended term
 * can be replaced under the condition of the owner row alone. Former owners stay in the owner row
 * until they acknowledge, so that after two takeovers in a row the first owner is still waited for.
 */
public final class OwnershipMachine {

  /** Interval between handover offers; each goes to the next live candidate. */
  private static final long OFFER_INTERVAL_MS = 3_000;

  private static final long OFFER_VALID_MS = 10_000;

  /** Time for which the stored owner row must be stale before it is rewritten. */
  private static final long ROW_UPDATE_DELAY_MS = 5_000;

  private final InstanceId self;
  private final long incarnation;
  private final RandomGenerator random;
  private final OwnLease lease;
  private final ObservedLeases observedLeases = new ObservedLeases();
  private final TakeoverPromises promises = new TakeoverPromises();
  private final RightsCalculator rightsCalculator;
  private final PendingCalls calls = new PendingCalls();
  private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();
  private final Map<TargetId, TargetState> undeclared = new HashMap<>();
  // Greatest lease term of each owner from which this instance took a target without an offer.
  private final Map<InstanceId, Long> latestTakenTermByOwner = new HashMap<>();
  private final Map<InstanceId, Long> promiseRequestedMsByPeer = new HashMap<>();
  private final Set<InstanceId> everListed = new HashSet<>();
  private Map<InstanceId, Long> newestIncarnations = Map.of();
  private Set<InstanceId> live = Set.of();
  private long longestRequestMs;
  private long startedMs = LeaseTimes.NEVER;
  private final OwnerRowFactory ownerRows;
  private boolean draining;
  private boolean releasing;
  private List<OwnershipAction> actions = new ArrayList<>();

  /**
   * Creates a machine without a lease.
   *
   * @param incarnation number that is new at every start
   * @param random spreads reads and retries over time
   */
  public OwnershipMachine(InstanceId self, long incarnation, RandomGenerator random) {
    this.self = self;
    this.incarnation = incarnation;
    this.random = random;
    this.lease = new OwnLease(self, incarnation);
    this.ownerRows = new OwnerRowFactory(self, incarnation);
    this.rightsCalculator = new RightsCalculator(self, lease, promises);
  }

  /**
   * Applies an event and returns the actions to perform.
   *
   * @param nowMs monotonic time
   */
  public List<OwnershipAction> handle(OwnershipEvent event, long nowMs) {
    actions = new ArrayList<>();
    if (startedMs == LeaseTimes.NEVER) {
      startedMs = nowMs;
    }
    switch (event) {
      case OwnershipEvent.Tick tick -> {}
      case OwnershipEvent.TargetsDeclared declared -> onTargetsDeclared(declared);
      case OwnershipEvent.InstancesUpdated updated -> onInstancesUpdated(updated);
      case OwnershipEvent.InstanceListRead list -> onInstanceListRead(list);
      case OwnershipEvent.Committed committed -> onCommitted(committed, nowMs);
      case OwnershipEvent.Conflicted conflicted -> onConflicted(conflicted.callId(), nowMs);
      case OwnershipEvent.CallFailed failed -> onCallFailed(failed, nowMs);
      case OwnershipEvent.LeaseRead read -> onLeaseRead(read, nowMs);
      case OwnershipEvent.OwnerRead read -> onOwnerRead(read, nowMs);
      case OwnershipEvent.PromiseRequested request -> onPromiseRequested(request, nowMs);
      case OwnershipEvent.PromiseAnswered answered ->
          promises.onAnswer(
              answered.from(), answered.round(), answered.granted(), nowMs, lease.deadlineMs());
      case OwnershipEvent.HandoverOffered offered -> onHandoverOffered(offered, nowMs);
      case OwnershipEvent.HandoverTaken taken -> onHandoverTaken(taken, nowMs);
      case OwnershipEvent.HandoverDone done -> onHandoverDone(done);
      case OwnershipEvent.EngineReported report -> onEngineReported(report);
      case OwnershipEvent.RequestsEnded ended -> onRequestsEnded(ended.target());
      case OwnershipEvent.ProcessPaused pause -> {
        lease.suspend(nowMs);
        promises.discardCurrentRound();
      }
      case OwnershipEvent.DrainStarted started -> draining = true;
      case OwnershipEvent.DrainEnded ended -> {
        draining = true;
        releasing = true;
        lease.makeWriteDue(nowMs);
      }
    }
    renewLease(nowMs);
    requestPromises(nowMs);
    targets.values().forEach(state -> advance(state, nowMs));
    return actions;
  }

  /** Returns the rights of this instance on each target that it owns. */
  public Map<TargetId, Rights> rights() {
    Map<TargetId, Rights> rights = new LinkedHashMap<>();
    targets.values().stream()
        .filter(state -> state.owned)
        .forEach(state -> rights.put(state.id, rightsCalculator.rightsOn(state)));
    return rights;
  }

  /** Returns the owner last read of each target for which this instance is a candidate. */
  public Map<TargetId, InstanceId> owners() {
    Map<TargetId, InstanceId> owners = new LinkedHashMap<>();
    targets.values().stream()
        .filter(state -> state.row() != null && state.candidates.contains(self))
        .forEach(state -> owners.put(state.id, state.row().owner()));
    return owners;
  }

  /** Returns whether the own lease is valid without promises of peers. */
  public boolean isLeaseHeld(long nowMs) {
    return lease.isHeld(nowMs);
  }

  /** Returns whether the own lease is released; the machine then does nothing more. */
  public boolean isReleased() {
    return lease.isReleased();
  }

  /** Returns the other candidates of shared targets; their heartbeats show when one fails. */
  public Set<InstanceId> candidatePeers() {
    Set<InstanceId> others = new TreeSet<>();
    targets.values().stream()
        .filter(state -> state.candidates.contains(self))
        .forEach(state -> others.addAll(state.candidates));
    others.remove(self);
    return others;
  }

  private void rankCandidates(TargetState state) {
    state.candidates = OwnerCandidates.of(state.id, newestIncarnations.keySet());
  }

  private void onTargetsDeclared(OwnershipEvent.TargetsDeclared declared) {
    longestRequestMs = Math.max(longestRequestMs, declared.longestRequestMs());
    for (TargetId id : declared.targets()) {
      if (!targets.containsKey(id)) {
        targets.put(id, undeclared.containsKey(id) ? undeclared.remove(id) : new TargetState(id));
        rankCandidates(targets.get(id));
      }
    }
    List<TargetState> noLongerDeclared =
        targets.values().stream().filter(s -> !declared.targets().contains(s.id)).toList();
    for (TargetState state : noLongerDeclared) {
      loseOwnership(state, "not_declared");
      targets.remove(state.id);
      undeclared.put(state.id, state);
    }
  }

  private void onInstancesUpdated(OwnershipEvent.InstancesUpdated updated) {
    boolean sameNames = newestIncarnations.keySet().equals(updated.newestIncarnations().keySet());
    newestIncarnations = Map.copyOf(updated.newestIncarnations());
    if (!sameNames) {
      targets.values().forEach(this::rankCandidates);
    }
    live = Set.copyOf(updated.live());
    targets.values().stream()
        .filter(state -> state.quarantine != null)
        .forEach(state -> state.quarantine.removeReplaced(newestIncarnations));
  }

  private void onInstanceListRead(OwnershipEvent.InstanceListRead list) {
    targets.values().stream()
        .filter(state -> state.quarantine != null)
        .forEach(s -> s.quarantine.removeUnlisted(list.names(), everListed, list.requestedMs()));
    everListed.addAll(list.names());
  }

  /** Returns the state of a target, also of an undeclared one, whose calls may be pending. */
  private TargetState stateOf(TargetId id) {
    return targets.containsKey(id) ? targets.get(id) : undeclared.get(id);
  }

  // Renewal and reads of the own lease row.

  private void renewLease(long nowMs) {
    if (!lease.isDue(nowMs)
        || calls.isPending(new StoreCall.LeaseWrite())
        || calls.isPending(new StoreCall.LeaseLookup(self))) {
      return;
    }
    if (lease.needsRead()) {
      readLease(self);
      return;
    }
    long version = lease.storedVersion();
    LeaseRow row = lease.nextRow(nowMs, releasing);
    long callId = calls.register(new StoreCall.LeaseWrite());
    actions.add(new OwnershipAction.WriteLease(callId, version, row));
  }

  private void readLease(InstanceId holder) {
    StoreCall call = new StoreCall.LeaseLookup(holder);
    if (!calls.isPending(call)) {
      actions.add(new OwnershipAction.ReadLease(calls.register(call), holder));
    }
  }

  private void readOwner(TargetState state) {
    StoreCall call = new StoreCall.OwnerLookup(state.id);
    if (!calls.isPending(call)) {
      actions.add(new OwnershipAction.ReadOwner(calls.register(call), state.id));
    }
  }

  private void onLeaseRead(OwnershipEvent.LeaseRead read, long nowMs) {
    if (calls.complete(read.callId()) instanceof StoreCall.LeaseLookup lookup) {
      if (!lookup.holder().equals(self)) {
        observedLeases.recordRow(lookup.holder(), read.versionedRow(), nowMs);
        return;
      }
      promises.clearReceived();
      if (lease.onRead(read.versionedRow(), nowMs)) {
        targets.values().forEach(state -> loseOwnership(state, "lease_ended"));
      }
    }
  }

  // Promises, which extend the own lease or that of a peer while renewals fail.

  private void requestPromises(long nowMs) {
    boolean needed =
        lease.isRenewalFailing()
            && lease.isTermConfirmed()
            && (lease.isSuspended()
                || lease.deadlineMs() - nowMs < LeaseTimes.PROMISE_REQUEST_THRESHOLD_MS)
            && nowMs < lease.deadlineMs() + LeaseTimes.MAX_DISCONNECTED_MS;
    if (!needed || !promises.isRequestDue(nowMs)) {
      return;
    }
    Set<InstanceId> others = new TreeSet<>();
    targets.values().stream()
        .filter(state -> state.owned)
        .forEach(state -> others.addAll(state.otherCandidates(self)));
    long round = promises.startRound(nowMs);
    others.forEach(to -> actions.add(new OwnershipAction.RequestPromise(to, lease.term(), round)));
  }

  private void onPromiseRequested(OwnershipEvent.PromiseRequested request, long nowMs) {
    InstanceId from = request.from();
    promiseRequestedMsByPeer.put(from, nowMs);
    boolean takingOver =
        targets.values().stream()
            .anyMatch(
                state -> state.pendingWrite != null && from.equals(state.pendingWrite.takenFrom()));
    boolean taken = latestTakenTermByOwner.getOrDefault(from, Long.MIN_VALUE) >= request.term();
    boolean replaced = newestIncarnations.getOrDefault(from, 0L) > request.incarnation();
    boolean granted =
        !takingOver && !taken && !replaced && !observedLeases.hasTermEnded(from, request.term());
    if (granted) {
      promises.grant(from, nowMs);
    }
    actions.add(new OwnershipAction.AnswerPromise(from, request.round(), granted));
  }

  // Steps that each event triggers for each target.

  private void advance(TargetState state, long nowMs) {
    if (state.pendingWrite != null) {
      retryWriteIfDue(state, nowMs);
      return;
    }
    if (isReadDue(state, nowMs)) {
      readOwner(state);
    }
    if (state.owned) {
      advanceOwned(state, nowMs);
    } else if (state.isRowKnown()) {
      advanceNotOwned(state, nowMs);
    }
  }

  private boolean isReadDue(TargetState state, long nowMs) {
    boolean observed = state.candidates.contains(self) || state.offer != null || state.owned;
    if (!observed && !isFormerOwner(state)) {
      return false;
    }
    if (state.lastReadMs == LeaseTimes.NEVER) {
      return true;
    }
    long sinceMs = nowMs - state.lastReadMs;
    if (state.owned) {
      return state.offeredTo != null && sinceMs >= LeaseTimes.RETRY_DELAY_MS;
    }
    boolean ownerLive = state.row() != null && live.contains(state.row().owner());
    return sinceMs
        >= (ownerLive ? LeaseTimes.SLOW_READ_INTERVAL_MS : LeaseTimes.FAST_READ_INTERVAL_MS);
  }

  private boolean isFormerOwner(TargetState state) {
    return state.row() != null
        && state.row().formerOwners().stream().anyMatch(f -> f.instance().equals(self));
  }

  private void advanceOwned(TargetState state, long nowMs) {
    if (state.quarantine != null && state.quarantine.isOver(nowMs, state.runningRequests)) {
      state.quarantine = null;
      actions.add(new OwnershipAction.QuarantineEnded(state.id));
    }
    if (!lease.isHeld(nowMs)) {
      return;
    }
    if (draining) {
      offerHandover(state, nowMs);
      return;
    }
    List<InstanceId> current = state.candidates;
    boolean candidatesStale = !Set.copyOf(current).equals(Set.copyOf(state.row().candidates()));
    boolean formerOwnersStale = state.quarantine == null && !state.row().formerOwners().isEmpty();
    if (!candidatesStale && !formerOwnersStale) {
      state.rowStaleSinceMs = LeaseTimes.NEVER;
    } else if (state.rowStaleSinceMs == LeaseTimes.NEVER) {
      state.rowStaleSinceMs = nowMs;
    } else if (nowMs - state.rowStaleSinceMs >= ROW_UPDATE_DELAY_MS) {
      state.rowStaleSinceMs = LeaseTimes.NEVER;
      OwnerRow updated = ownerRows.updatedRow(state, state.quarantine != null);
      startWrite(state, new RowWrite(updated, Optional.empty(), state.latestRow.version(), null));
    }
  }

  private void offerHandover(TargetState state, long nowMs) {
    if (state.lastOfferMs != LeaseTimes.NEVER && nowMs - state.lastOfferMs < OFFER_INTERVAL_MS) {
      return;
    }
    List<InstanceId> others =
        state.candidates.stream().filter(c -> !c.equals(self) && live.contains(c)).toList();
    if (others.isEmpty()) {
      return;
    }
    int nextIndex = others.indexOf(state.offeredTo) + 1;
    state.offeredTo = others.get(nextIndex % others.size());
    state.lastOfferMs = nowMs;
    actions.add(
        new OwnershipAction.OfferHandover(state.offeredTo, state.id, state.lastOwnedFencing));
  }

  private void advanceNotOwned(TargetState state, long nowMs) {
    OwnerRow row = state.row();
    if (takeOfferedTarget(state, nowMs)) {
      return;
    }
    boolean takeable = row == null || isTakeable(state, row, nowMs);
    if (!takeable) {
      state.takeableSinceMs = LeaseTimes.NEVER;
      return;
    }
    if (state.takeableSinceMs == LeaseTimes.NEVER) {
      state.takeableSinceMs = nowMs;
    }
    boolean allowed =
        !draining
            && lease.isHeld(nowMs)
            && lease.deadlineMs() - nowMs > LeaseTimes.MIN_LEASE_FOR_TAKEOVER_MS
            && mayTakeOver(state, row, nowMs);
    long takeableForMs = nowMs - state.takeableSinceMs;
    if (allowed && takeableForMs >= higherRankedCandidates(state) * LeaseTimes.DELAY_PER_RANK_MS) {
      takeOver(state, row);
    }
  }

  /** Starts to take a target that its owner offered; returns false without a valid offer. */
  private boolean takeOfferedTarget(TargetState state, long nowMs) {
    TargetState.Offer offer = state.offer;
    OwnerRow row = state.row();
    if (offer == null || nowMs >= offer.validUntilMs() || draining || !lease.isHeld(nowMs)) {
      return false;
    }
    if (row == null || !row.owner().equals(offer.from()) || row.fencing() != offer.fencing()) {
      return false;
    }
    startWrite(
        state,
        new RowWrite(
            ownerRows.takeoverRow(state, lease.term(), false, newestIncarnations),
            Optional.empty(),
            state.latestRow.version(),
            null));
    return true;
  }

  /** Returns whether the owner's term has ended or can be ended; starts the reads that show it. */
  private boolean isTakeable(TargetState state, OwnerRow row, long nowMs) {
    InstanceId owner = row.owner();
    if (owner.equals(self)) {
      return lease.isTermConfirmed() && row.term() != lease.term();
    }
    boolean renewalFailing =
        promiseRequestedMsByPeer.containsKey(owner)
            && nowMs - promiseRequestedMsByPeer.get(owner) < LeaseTimes.TAKEOVER_WAIT_MS;
    boolean replaced = newestIncarnations.getOrDefault(owner, 0L) > row.incarnation();
    if (live.contains(owner) && !renewalFailing && !replaced) {
      observedLeases.forget(owner);
      return false;
    }
    if (observedLeases.isReadDue(owner, nowMs) && state.candidates.contains(self)) {
      readLease(owner);
    }
    return observedLeases.hasTermEnded(owner, row.term())
        || observedLeases.unchangedForMs(owner) >= LeaseTimes.TAKEOVER_WAIT_MS;
  }

  private boolean mayTakeOver(TargetState state, OwnerRow row, long nowMs) {
    boolean candidate = state.candidates.contains(self);
    if (row == null || row.owner().equals(self)) {
      return candidate;
    }
    if (promises.isBoundTo(row.owner(), nowMs)) {
      return false;
    }
    if (observedLeases.isReleased(row.owner(), row.term())) {
      return candidate;
    }
    // Promises granted before a restart of this instance are forgotten; by then they have ended.
    if (nowMs - startedMs < LeaseTimes.PROMISE_BINDING_MS) {
      return false;
    }
    boolean listedInRow = row.candidates().contains(self);
    boolean ownerGone = isProcessGone(row.owner(), row.incarnation());
    boolean waited = nowMs - state.takeableSinceMs >= LeaseTimes.UNLISTED_TAKEOVER_WAIT_MS;
    return candidate && (listedInRow || ownerGone || waited);
  }

  /** Returns whether a process was replaced, or its name was listed once and is now missing. */
  private boolean isProcessGone(InstanceId instance, long knownIncarnation) {
    Long newest = newestIncarnations.get(instance);
    return newest == null ? everListed.contains(instance) : newest > knownIncarnation;
  }

  private long higherRankedCandidates(TargetState state) {
    return state.candidates.stream().takeWhile(c -> !c.equals(self)).filter(live::contains).count();
  }

  private void takeOver(TargetState state, OwnerRow row) {
    Optional<Versioned<LeaseRow>> voided = Optional.empty();
    boolean released = false;
    InstanceId from = null;
    if (row != null && !row.owner().equals(self)) {
      from = row.owner();
      released = observedLeases.isReleased(from, row.term());
      if (!observedLeases.hasTermEnded(from, row.term())) {
        Versioned<LeaseRow> seen = observedLeases.rowOf(from);
        voided = Optional.of(new Versioned<>(seen.version(), ownerRows.voidedLeaseRow(row, seen)));
      }
    }
    OwnerRow next = ownerRows.takeoverRow(state, lease.term(), released, newestIncarnations);
    startWrite(state, new RowWrite(next, voided, state.latestRow.version(), from));
  }

  // Writes of owner rows.

  private void startWrite(TargetState state, RowWrite write) {
    state.pendingWrite = write;
    state.writeMaybeApplied = false;
    sendWrite(state);
  }

  private void sendWrite(TargetState state) {
    RowWrite write = state.pendingWrite;
    long callId = calls.register(new StoreCall.OwnerWrite(state.id));
    actions.add(
        new OwnershipAction.WriteOwner(
            callId, write.voidedLease(), write.expectedVersion(), write.row()));
  }

  /** Retries a write of unknown outcome until it takes effect or its condition fails. */
  private void retryWriteIfDue(TargetState state, long nowMs) {
    if (!calls.isPending(new StoreCall.OwnerWrite(state.id)) && nowMs >= state.writeRetryMs) {
      sendWrite(state);
    }
  }

  private void onCommitted(OwnershipEvent.Committed committed, long nowMs) {
    switch (calls.complete(committed.callId())) {
      case StoreCall.LeaseWrite write -> {
        lease.onWritten(committed.versions().getFirst(), nowMs);
        promises.clearReceived();
      }
      case StoreCall.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        RowWrite write = state.pendingWrite;
        state.pendingWrite = null;
        if (write.voidedLease().isPresent()) {
          Versioned<LeaseRow> voided = write.voidedLease().get();
          observedLeases.recordRow(
              voided.row().holder(),
              new Versioned<>(committed.versions().getFirst(), voided.row()),
              nowMs);
        }
        applyOwnerRow(state, new Versioned<>(committed.versions().getLast(), write.row()), nowMs);
      }
      case null, default -> {}
    }
  }

  private void onConflicted(long callId, long nowMs) {
    switch (calls.complete(callId)) {
      case StoreCall.LeaseWrite write -> lease.onConflict(nowMs);
      case StoreCall.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        InstanceId from = state.pendingWrite.takenFrom();
        state.pendingWrite = null;
        state.lastReadMs = LeaseTimes.NEVER;
        if (from != null) {
          readLease(from);
        }
      }
      case null, default -> {}
    }
  }

  private void onCallFailed(OwnershipEvent.CallFailed failed, long nowMs) {
    long retryDelayMs = LeaseTimes.RETRY_DELAY_MS / 2 + random.nextLong(LeaseTimes.RETRY_DELAY_MS);
    switch (calls.complete(failed.callId())) {
      case StoreCall.LeaseWrite write -> lease.onCallFailed(nowMs, retryDelayMs);
      case StoreCall.LeaseLookup(InstanceId holder) -> {
        if (holder.equals(self)) {
          lease.onCallFailed(nowMs, retryDelayMs);
        }
      }
      case StoreCall.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        state.writeMaybeApplied |= failed.maybeApplied();
        state.writeRetryMs = nowMs + retryDelayMs;
        if (!state.writeMaybeApplied) {
          state.pendingWrite = null;
          state.takeableSinceMs = nowMs;
        }
      }
      case StoreCall.OwnerLookup(TargetId id) -> stateOf(id).lastReadMs = nowMs;
      case null, default -> {}
    }
  }

  private void onOwnerRead(OwnershipEvent.OwnerRead read, long nowMs) {
    if (calls.complete(read.callId()) instanceof StoreCall.OwnerLookup lookup) {
      applyOwnerRow(stateOf(lookup.target()), read.versionedRow(), nowMs);
    }
  }

  /** Applies an owner row; ignores one older than the row already known, as a late answer has. */
  private void applyOwnerRow(TargetState state, Versioned<OwnerRow> newRow, long nowMs) {
    state.lastReadMs = nowMs + random.nextLong(LeaseTimes.RETRY_DELAY_MS);
    if (state.latestRow != null && state.latestRow.version() > newRow.version()) {
      return;
    }
    OwnerRow previous = state.row();
    state.latestRow = newRow;
    OwnerRow row = newRow.row();
    boolean ownedBySelf =
        row != null
            && row.owner().equals(self)
            && row.incarnation() == incarnation
            && row.term() == lease.term()
            && lease.isTermConfirmed()
            && targets.containsKey(state.id);
    if (state.owned && !ownedBySelf) {
      loseOwnership(state, "taken");
    } else if (ownedBySelf && !state.owned) {
      if (previous != null && state.offer == null) {
        latestTakenTermByOwner.merge(previous.owner(), previous.term(), Math::max);
      }
      gainOwnership(state, row, nowMs);
    }
    if (row != null && !ownedBySelf) {
      acknowledgeEndedRequests(state, row);
    }
  }

  private void gainOwnership(TargetState state, OwnerRow row, long nowMs) {
    state.owned = true;
    state.lastOwnedFencing = row.fencing();
    state.offeredTo = null;
    state.lastOfferMs = LeaseTimes.NEVER;
    state.takeableSinceMs = LeaseTimes.NEVER;
    state.runningRequests = Integer.MAX_VALUE;
    state.quarantine = new Quarantine(row.formerOwners(), nowMs, longestRequestMs);
    state.quarantine.removeReplaced(newestIncarnations);
    state.quarantine.removeAcknowledged(self, state.endedFencing);
    boolean quarantined = !state.quarantine.isOver(nowMs, state.runningRequests);
    if (!quarantined) {
      state.quarantine = null;
    }
    actions.add(new OwnershipAction.OwnershipGained(state.id, row.fencing(), quarantined));
    if (state.offer != null && state.offer.fencing() < row.fencing()) {
      actions.add(new OwnershipAction.ConfirmHandover(state.offer.from(), state.id, row.fencing()));
      state.offer = null;
    }
  }

  private void loseOwnership(TargetState state, String reason) {
    if (state.owned) {
      state.owned = false;
      state.offeredTo = null;
      state.quarantine = null;
      state.lastReadMs = LeaseTimes.NEVER;
      actions.add(new OwnershipAction.OwnershipLost(state.id, reason));
    }
  }

  // Handover of a target to another instance, and the end of requests of former owners.

  private void onHandoverOffered(OwnershipEvent.HandoverOffered offered, long nowMs) {
    TargetState state = targets.get(offered.target());
    if (state == null || draining) {
      return;
    }
    if (state.owned) {
      if (state.lastOwnedFencing > offered.fencing()) {
        actions.add(
            new OwnershipAction.ConfirmHandover(offered.from(), state.id, state.lastOwnedFencing));
      }
      return;
    }
    state.offer = new TargetState.Offer(offered.from(), offered.fencing(), nowMs + OFFER_VALID_MS);
    state.lastReadMs = LeaseTimes.NEVER;
  }

  private void onHandoverTaken(OwnershipEvent.HandoverTaken taken, long nowMs) {
    TargetState state = targets.get(taken.target());
    if (state != null && state.owned && taken.fencing() > state.lastOwnedFencing) {
      loseOwnership(state, "handed_over");
    }
  }

  private void onHandoverDone(OwnershipEvent.HandoverDone done) {
    TargetState state = targets.get(done.target());
    if (state != null && state.quarantine != null) {
      state.quarantine.removeAcknowledged(done.from(), done.fencing());
    }
  }

  private void onEngineReported(OwnershipEvent.EngineReported report) {
    TargetState state = targets.get(report.target());
    if (state != null) {
      state.runningRequests = report.running();
    }
  }

  private void onRequestsEnded(TargetId target) {
    TargetState state = targets.get(target);
    if (state == null) {
      return;
    }
    if (state.quarantine != null) {
      state.quarantine.removeAcknowledged(self, state.lastOwnedFencing - 1);
    }
    if (!state.owned) {
      state.endedFencing = state.lastOwnedFencing;
      state.lastReadMs = LeaseTimes.NEVER;
    }
  }

  /** Tells the present owner, at each read of its row, that requests of this instance ended. */
  private void acknowledgeEndedRequests(TargetState state, OwnerRow row) {
    boolean awaited =
        row.formerOwners().stream()
            .anyMatch(
                f ->
                    f.instance().equals(self)
                        && f.incarnation() == incarnation
                        && f.fencing() <= state.endedFencing);
    if (awaited) {
      actions.add(new OwnershipAction.FinishHandover(row.owner(), state.id, state.endedFencing));
    }
  }
}
