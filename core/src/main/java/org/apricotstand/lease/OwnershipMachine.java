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
import org.apricotstand.lease.Calls.Call;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Decides which engines of its domain this instance owns. Confined to the control thread.
 *
 * <pre>{@code
 * List<OwnershipAction> actions = machine.handle(new OwnershipEvent.Tick(), nowMs);
 * Map<TargetId, Rights> rights = machine.rights();
 * }</pre>
 *
 * <p>A lease term that ended never becomes valid again, so an owner row that names an ended term
 * can be taken under the condition of the owner row alone. Former owners are kept in the owner row
 * until they acknowledge, so that a second takeover in a row still waits for the first owner.
 */
public final class OwnershipMachine {

  private static final long OFFER_MS = 3_000;
  private static final long OFFER_VALID_MS = 10_000;
  private static final long CANDIDATES_STEADY_MS = 5_000;

  private final InstanceId self;
  private final long incarnation;
  private final RandomGenerator random;
  private final OwnLease lease;
  private final LeaseWatch watch = new LeaseWatch();
  private final Promises promises = new Promises();
  private final RightsRule rightsRule;
  private final Calls calls = new Calls();
  private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();
  private final Map<TargetId, TargetState> removed = new HashMap<>();
  private final Map<InstanceId, Long> takenTerms = new HashMap<>();
  private final Map<InstanceId, Long> askedMs = new HashMap<>();
  private final Set<InstanceId> everListed = new HashSet<>();
  private Map<InstanceId, Long> instances = Map.of();
  private Set<InstanceId> live = Set.of();
  private long longestRequestMs;
  private long startedMs = LeaseTimes.NEVER;
  private final OwnerRows rows;
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
    this.rows = new OwnerRows(self, incarnation);
    this.rightsRule = new RightsRule(self, lease, promises);
  }

  /**
   * Applies an event and returns what has to be done for it.
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
      case OwnershipEvent.TargetsDeclared declared -> declare(declared);
      case OwnershipEvent.InstancesSeen seen -> see(seen);
      case OwnershipEvent.ListRead list -> listRead(list);
      case OwnershipEvent.Committed committed -> committed(committed, nowMs);
      case OwnershipEvent.Conflicted conflicted -> conflicted(conflicted.call(), nowMs);
      case OwnershipEvent.CallFailed failed -> callFailed(failed, nowMs);
      case OwnershipEvent.LeaseRead read -> leaseRead(read, nowMs);
      case OwnershipEvent.OwnerRead read -> ownerRead(read, nowMs);
      case OwnershipEvent.PromiseAsked asked -> promiseAsked(asked, nowMs);
      case OwnershipEvent.PromiseAnswered answered ->
          promises.answered(
              answered.from(), answered.round(), answered.granted(), nowMs, lease.deadlineMs());
      case OwnershipEvent.HandoverOffered offered -> offered(offered, nowMs);
      case OwnershipEvent.HandoverTaken taken -> handedOver(taken, nowMs);
      case OwnershipEvent.HandoverDone done -> acknowledged(done);
      case OwnershipEvent.EngineReported report -> reported(report);
      case OwnershipEvent.RequestsEnded ended -> requestsEnded(ended.target());
      case OwnershipEvent.PauseDetected pause -> {
        lease.suspend(nowMs);
        promises.startNewRound();
      }
      case OwnershipEvent.DrainStarted started -> draining = true;
      case OwnershipEvent.DrainEnded ended -> {
        draining = true;
        releasing = true;
        lease.writeSoon(nowMs);
      }
    }
    keepLease(nowMs);
    askPromises(nowMs);
    targets.values().forEach(state -> attend(state, nowMs));
    return actions;
  }

  /** Returns what this instance may do with each target that it owns. */
  public Map<TargetId, Rights> rights() {
    Map<TargetId, Rights> rights = new LinkedHashMap<>();
    targets.values().stream()
        .filter(state -> state.owned)
        .forEach(state -> rights.put(state.id, rightsRule.of(state)));
    return rights;
  }

  /** Returns the owners named by the rows that were read last, of targets under observation. */
  public Map<TargetId, InstanceId> owners() {
    Map<TargetId, InstanceId> owners = new LinkedHashMap<>();
    targets.values().stream()
        .filter(state -> state.row() != null && state.candidates.contains(self))
        .forEach(state -> owners.put(state.id, state.row().owner()));
    return owners;
  }

  /** Returns whether the own lease is valid without promises of others. */
  public boolean isLeaseHeld(long nowMs) {
    return lease.isHeld(nowMs);
  }

  /** Returns whether the own lease is released, after which nothing more is to be done. */
  public boolean isReleased() {
    return lease.isReleased();
  }

  /** Returns the instances that this one has to hear to see them fail. */
  public Set<InstanceId> neighbours() {
    Set<InstanceId> others = new TreeSet<>();
    targets.values().stream()
        .filter(state -> state.candidates.contains(self))
        .forEach(state -> others.addAll(state.candidates));
    others.remove(self);
    return others;
  }

  private void rank(TargetState state) {
    state.candidates = Candidates.of(state.id, instances.keySet());
  }

  private void declare(OwnershipEvent.TargetsDeclared declared) {
    longestRequestMs = Math.max(longestRequestMs, declared.longestRequestMs());
    for (TargetId id : declared.targets()) {
      if (!targets.containsKey(id)) {
        targets.put(id, removed.containsKey(id) ? removed.remove(id) : new TargetState(id));
        rank(targets.get(id));
      }
    }
    List<TargetState> dropped =
        targets.values().stream().filter(s -> !declared.targets().contains(s.id)).toList();
    for (TargetState state : dropped) {
      lose(state, "not_declared");
      targets.remove(state.id);
      removed.put(state.id, state);
    }
  }

  private void see(OwnershipEvent.InstancesSeen seen) {
    boolean sameNames = instances.keySet().equals(seen.newestIncarnations().keySet());
    instances = Map.copyOf(seen.newestIncarnations());
    if (!sameNames) {
      targets.values().forEach(this::rank);
    }
    live = Set.copyOf(seen.live());
    targets.values().stream()
        .filter(state -> state.quarantine != null)
        .forEach(state -> state.quarantine.seen(instances));
  }

  private void listRead(OwnershipEvent.ListRead list) {
    targets.values().stream()
        .filter(state -> state.quarantine != null)
        .forEach(state -> state.quarantine.listed(list.names(), everListed, list.askedMs()));
    everListed.addAll(list.names());
  }

  /**
   * Returns the state of a target; one that is no longer declared is settled while it has calls.
   */
  private TargetState stateOf(TargetId id) {
    return targets.containsKey(id) ? targets.get(id) : removed.get(id);
  }

  // Own lease.

  private void keepLease(long nowMs) {
    if (!lease.isDue(nowMs)
        || calls.isOpen(new Call.LeaseWrite())
        || calls.isOpen(new Call.LeaseLookup(self))) {
      return;
    }
    if (lease.needsRead()) {
      readLease(self);
      return;
    }
    long version = lease.storedVersion();
    LeaseRow row = lease.nextRow(nowMs, releasing);
    long call = calls.open(new Call.LeaseWrite());
    actions.add(new OwnershipAction.WriteLease(call, version, row));
  }

  private void readLease(InstanceId holder) {
    Call call = new Call.LeaseLookup(holder);
    if (!calls.isOpen(call)) {
      actions.add(new OwnershipAction.ReadLease(calls.open(call), holder));
    }
  }

  private void readOwner(TargetState state) {
    Call call = new Call.OwnerLookup(state.id);
    if (!calls.isOpen(call)) {
      actions.add(new OwnershipAction.ReadOwner(calls.open(call), state.id));
    }
  }

  private void leaseRead(OwnershipEvent.LeaseRead read, long nowMs) {
    if (calls.close(read.call()) instanceof Call.LeaseLookup lookup) {
      if (!lookup.holder().equals(self)) {
        watch.found(lookup.holder(), read.found(), nowMs);
        return;
      }
      promises.clearReceived();
      if (lease.found(read.found(), nowMs)) {
        targets.values().forEach(state -> lose(state, "lease_ended"));
      }
    }
  }

  // Promises.

  private void askPromises(long nowMs) {
    boolean needed =
        lease.isFailing()
            && lease.isEstablished()
            && (lease.isSuspended() || lease.deadlineMs() - nowMs < LeaseTimes.ASK_BEFORE_MS)
            && nowMs < lease.deadlineMs() + LeaseTimes.FROZEN_MS;
    if (!needed || !promises.isAskDue(nowMs)) {
      return;
    }
    Set<InstanceId> others = new TreeSet<>();
    targets.values().stream()
        .filter(state -> state.owned)
        .forEach(state -> others.addAll(state.otherTakers(self)));
    long round = promises.ask(nowMs);
    others.forEach(to -> actions.add(new OwnershipAction.AskPromise(to, lease.term(), round)));
  }

  private void promiseAsked(OwnershipEvent.PromiseAsked asked, long nowMs) {
    InstanceId from = asked.from();
    askedMs.put(from, nowMs);
    boolean taking =
        targets.values().stream()
            .anyMatch(state -> state.write != null && from.equals(state.write.takenFrom()));
    boolean taken = takenTerms.getOrDefault(from, Long.MIN_VALUE) >= asked.term();
    boolean replaced = instances.getOrDefault(from, 0L) > asked.incarnation();
    boolean granted = !taking && !taken && !replaced && !watch.hasEnded(from, asked.term());
    if (granted) {
      promises.give(from, nowMs);
    }
    actions.add(new OwnershipAction.AnswerPromise(from, asked.round(), granted));
  }

  // Targets.

  private void attend(TargetState state, long nowMs) {
    if (state.write != null) {
      repeatWrite(state, nowMs);
      return;
    }
    if (isReadDue(state, nowMs)) {
      readOwner(state);
    }
    if (state.owned) {
      attendOwned(state, nowMs);
    } else if (state.isRead()) {
      attendForeign(state, nowMs);
    }
  }

  private boolean isReadDue(TargetState state, long nowMs) {
    boolean observed = state.candidates.contains(self) || state.offer != null || state.owned;
    if (!observed && !isOldOwner(state)) {
      return false;
    }
    if (state.readMs == LeaseTimes.NEVER) {
      return true;
    }
    long sinceMs = nowMs - state.readMs;
    if (state.owned) {
      return state.offeredTo != null && sinceMs >= LeaseTimes.RETRY_MS;
    }
    boolean quiet = state.row() != null && live.contains(state.row().owner());
    return sinceMs >= (quiet ? LeaseTimes.SLOW_READ_MS : LeaseTimes.FAST_READ_MS);
  }

  private boolean isOldOwner(TargetState state) {
    return state.row() != null
        && state.row().formers().stream().anyMatch(f -> f.instance().equals(self));
  }

  private void attendOwned(TargetState state, long nowMs) {
    if (state.quarantine != null && state.quarantine.isOver(nowMs, state.running)) {
      state.quarantine = null;
      actions.add(new OwnershipAction.QuarantineEnded(state.id));
    }
    if (!lease.isHeld(nowMs)) {
      return;
    }
    if (draining) {
      offer(state, nowMs);
      return;
    }
    List<InstanceId> wanted = state.candidates;
    boolean stale = !Set.copyOf(wanted).equals(Set.copyOf(state.row().candidates()));
    boolean cleared = state.quarantine == null && !state.row().formers().isEmpty();
    if (!stale && !cleared) {
      state.candidatesChangedMs = LeaseTimes.NEVER;
    } else if (state.candidatesChangedMs == LeaseTimes.NEVER) {
      state.candidatesChangedMs = nowMs;
    } else if (nowMs - state.candidatesChangedMs >= CANDIDATES_STEADY_MS) {
      state.candidatesChangedMs = LeaseTimes.NEVER;
      OwnerRow updated = rows.updated(state, state.quarantine != null);
      startWrite(
          state, new TargetState.Write(updated, Optional.empty(), state.known.version(), null));
    }
  }

  private void offer(TargetState state, long nowMs) {
    if (state.offeredMs != LeaseTimes.NEVER && nowMs - state.offeredMs < OFFER_MS) {
      return;
    }
    List<InstanceId> others =
        state.candidates.stream().filter(c -> !c.equals(self) && live.contains(c)).toList();
    if (others.isEmpty()) {
      return;
    }
    int next = others.indexOf(state.offeredTo) + 1;
    state.offeredTo = others.get(next % others.size());
    state.offeredMs = nowMs;
    actions.add(
        new OwnershipAction.OfferHandover(state.offeredTo, state.id, state.lastOwnedFencing));
  }

  private void attendForeign(TargetState state, long nowMs) {
    OwnerRow row = state.row();
    if (takeOffered(state, nowMs)) {
      return;
    }
    boolean free = row == null || isFree(state, row, nowMs);
    if (!free) {
      state.freeSinceMs = LeaseTimes.NEVER;
      return;
    }
    if (state.freeSinceMs == LeaseTimes.NEVER) {
      state.freeSinceMs = nowMs;
    }
    boolean able =
        !draining
            && lease.isHeld(nowMs)
            && lease.deadlineMs() - nowMs > LeaseTimes.TAKE_MARGIN_MS
            && mayTake(state, row, nowMs);
    long freeMs = nowMs - state.freeSinceMs;
    if (able && freeMs >= betterCandidates(state) * LeaseTimes.RANK_DELAY_MS) {
      take(state, row);
    }
  }

  private boolean takeOffered(TargetState state, long nowMs) {
    TargetState.Offer offer = state.offer;
    OwnerRow row = state.row();
    if (offer == null || nowMs >= offer.untilMs() || draining || !lease.isHeld(nowMs)) {
      return false;
    }
    if (row == null || !row.owner().equals(offer.from()) || row.fencing() != offer.fencing()) {
      return false;
    }
    startWrite(
        state,
        new TargetState.Write(
            rows.next(state, lease.term(), false, instances),
            Optional.empty(),
            state.known.version(),
            null));
    return true;
  }

  /** Returns whether the owner's term has ended or can be ended. */
  private boolean isFree(TargetState state, OwnerRow row, long nowMs) {
    InstanceId owner = row.owner();
    if (owner.equals(self)) {
      return lease.isEstablished() && row.term() != lease.term();
    }
    boolean troubled =
        askedMs.containsKey(owner) && nowMs - askedMs.get(owner) < LeaseTimes.WATCH_MS;
    boolean replaced = instances.getOrDefault(owner, 0L) > row.incarnation();
    if (live.contains(owner) && !troubled && !replaced) {
      watch.forget(owner);
      return false;
    }
    if (watch.isReadDue(owner, nowMs) && state.candidates.contains(self)) {
      readLease(owner);
    }
    return watch.hasEnded(owner, row.term()) || watch.unchangedMs(owner) >= LeaseTimes.WATCH_MS;
  }

  private boolean mayTake(TargetState state, OwnerRow row, long nowMs) {
    boolean candidate = state.candidates.contains(self);
    if (row == null || row.owner().equals(self)) {
      return candidate;
    }
    if (promises.binds(row.owner(), nowMs)) {
      return false;
    }
    if (watch.isReleased(row.owner(), row.term())) {
      return candidate;
    }
    // A promise given before a restart of this instance is forgotten; it has ended by then.
    if (nowMs - startedMs < LeaseTimes.PROMISE_KEEP_MS) {
      return false;
    }
    boolean listed = row.candidates().contains(self);
    boolean ownerGone = isGone(row.owner(), row.incarnation());
    boolean waited = nowMs - state.freeSinceMs >= LeaseTimes.STRANGER_WATCH_MS;
    return candidate && (listed || ownerGone || waited);
  }

  private boolean isGone(InstanceId instance, long itsIncarnation) {
    Long newest = instances.get(instance);
    return newest == null ? everListed.contains(instance) : newest > itsIncarnation;
  }

  private long betterCandidates(TargetState state) {
    return state.candidates.stream().takeWhile(c -> !c.equals(self)).filter(live::contains).count();
  }

  private void take(TargetState state, OwnerRow row) {
    Optional<Versioned<LeaseRow>> voided = Optional.empty();
    boolean released = false;
    InstanceId from = null;
    if (row != null && !row.owner().equals(self)) {
      from = row.owner();
      released = watch.isReleased(from, row.term());
      if (!watch.hasEnded(from, row.term())) {
        Versioned<LeaseRow> seen = watch.row(from);
        voided = Optional.of(new Versioned<>(seen.version(), rows.voided(row, seen)));
      }
    }
    OwnerRow next = rows.next(state, lease.term(), released, instances);
    startWrite(state, new TargetState.Write(next, voided, state.known.version(), from));
  }

  // Writes of owner rows.

  private void startWrite(TargetState state, TargetState.Write write) {
    state.write = write;
    state.writeSent = false;
    sendWrite(state);
  }

  private void sendWrite(TargetState state) {
    TargetState.Write write = state.write;
    long call = calls.open(new Call.OwnerWrite(state.id));
    actions.add(new OwnershipAction.WriteOwner(call, write.lease(), write.version(), write.row()));
  }

  /** Repeats a write whose outcome is unknown until it takes effect or a condition fails. */
  private void repeatWrite(TargetState state, long nowMs) {
    if (!calls.isOpen(new Call.OwnerWrite(state.id)) && nowMs >= state.writeDueMs) {
      sendWrite(state);
    }
  }

  private void committed(OwnershipEvent.Committed committed, long nowMs) {
    switch (calls.close(committed.call())) {
      case Call.LeaseWrite write -> {
        lease.written(committed.versions().getFirst(), nowMs);
        promises.clearReceived();
      }
      case Call.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        TargetState.Write write = state.write;
        state.write = null;
        if (write.lease().isPresent()) {
          Versioned<LeaseRow> voided = write.lease().get();
          watch.found(
              voided.row().holder(),
              new Versioned<>(committed.versions().getFirst(), voided.row()),
              nowMs);
        }
        found(state, new Versioned<>(committed.versions().getLast(), write.row()), nowMs);
      }
      case null, default -> {}
    }
  }

  private void conflicted(long call, long nowMs) {
    switch (calls.close(call)) {
      case Call.LeaseWrite write -> lease.conflicted(nowMs);
      case Call.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        InstanceId from = state.write.takenFrom();
        state.write = null;
        state.readMs = LeaseTimes.NEVER;
        if (from != null) {
          readLease(from);
        }
      }
      case null, default -> {}
    }
  }

  private void callFailed(OwnershipEvent.CallFailed failed, long nowMs) {
    long retryMs = LeaseTimes.RETRY_MS / 2 + random.nextLong(LeaseTimes.RETRY_MS);
    switch (calls.close(failed.call())) {
      case Call.LeaseWrite write -> lease.failed(nowMs, retryMs);
      case Call.LeaseLookup(InstanceId holder) -> {
        if (holder.equals(self)) {
          lease.failed(nowMs, retryMs);
        }
      }
      case Call.OwnerWrite(TargetId id) -> {
        TargetState state = stateOf(id);
        state.writeSent |= failed.sent();
        state.writeDueMs = nowMs + retryMs;
        if (!state.writeSent) {
          state.write = null;
          state.freeSinceMs = nowMs;
        }
      }
      case Call.OwnerLookup(TargetId id) -> stateOf(id).readMs = nowMs;
      case null, default -> {}
    }
  }

  private void ownerRead(OwnershipEvent.OwnerRead read, long nowMs) {
    if (calls.close(read.call()) instanceof Call.OwnerLookup lookup) {
      found(stateOf(lookup.target()), read.found(), nowMs);
    }
  }

  /** Applies a row; versions only grow, so an older one is the answer to an earlier question. */
  private void found(TargetState state, Versioned<OwnerRow> found, long nowMs) {
    state.readMs = nowMs + random.nextLong(LeaseTimes.RETRY_MS);
    if (state.known != null && state.known.version() > found.version()) {
      return;
    }
    OwnerRow before = state.row();
    state.known = found;
    OwnerRow row = found.row();
    boolean mine =
        row != null
            && row.owner().equals(self)
            && row.incarnation() == incarnation
            && row.term() == lease.term()
            && lease.isEstablished()
            && targets.containsKey(state.id);
    if (state.owned && !mine) {
      lose(state, "taken");
    } else if (mine && !state.owned) {
      if (before != null && state.offer == null) {
        takenTerms.merge(before.owner(), before.term(), Math::max);
      }
      gain(state, row, nowMs);
    }
    if (row != null && !mine) {
      acknowledge(state, row);
    }
  }

  private void gain(TargetState state, OwnerRow row, long nowMs) {
    state.owned = true;
    state.lastOwnedFencing = row.fencing();
    state.offeredTo = null;
    state.offeredMs = LeaseTimes.NEVER;
    state.freeSinceMs = LeaseTimes.NEVER;
    state.running = Integer.MAX_VALUE;
    state.quarantine = new Quarantine(row.formers(), nowMs, longestRequestMs);
    state.quarantine.seen(instances);
    state.quarantine.acknowledged(self, state.endedFencing);
    boolean quarantined = !state.quarantine.isOver(nowMs, state.running);
    if (!quarantined) {
      state.quarantine = null;
    }
    actions.add(new OwnershipAction.Gained(state.id, row.fencing(), quarantined));
    if (state.offer != null && state.offer.fencing() < row.fencing()) {
      actions.add(new OwnershipAction.ConfirmHandover(state.offer.from(), state.id, row.fencing()));
      state.offer = null;
    }
  }

  private void lose(TargetState state, String reason) {
    if (state.owned) {
      state.owned = false;
      state.offeredTo = null;
      state.quarantine = null;
      state.readMs = LeaseTimes.NEVER;
      actions.add(new OwnershipAction.Lost(state.id, reason));
    }
  }

  // Handover.

  private void offered(OwnershipEvent.HandoverOffered offered, long nowMs) {
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
    state.readMs = LeaseTimes.NEVER;
  }

  private void handedOver(OwnershipEvent.HandoverTaken taken, long nowMs) {
    TargetState state = targets.get(taken.target());
    if (state != null && state.owned && taken.fencing() > state.lastOwnedFencing) {
      lose(state, "handed_over");
    }
  }

  private void acknowledged(OwnershipEvent.HandoverDone done) {
    TargetState state = targets.get(done.target());
    if (state != null && state.quarantine != null) {
      state.quarantine.acknowledged(done.from(), done.fencing());
    }
  }

  private void reported(OwnershipEvent.EngineReported report) {
    TargetState state = targets.get(report.target());
    if (state != null) {
      state.running = report.running();
    }
  }

  private void requestsEnded(TargetId target) {
    TargetState state = targets.get(target);
    if (state == null) {
      return;
    }
    if (state.quarantine != null) {
      state.quarantine.acknowledged(self, state.lastOwnedFencing - 1);
    }
    if (!state.owned) {
      state.endedFencing = state.lastOwnedFencing;
      state.readMs = LeaseTimes.NEVER;
    }
  }

  /** Tells the present owner, at each read of its row, that requests of this instance ended. */
  private void acknowledge(TargetState state, OwnerRow row) {
    boolean waitedFor =
        row.formers().stream()
            .anyMatch(
                f ->
                    f.instance().equals(self)
                        && f.incarnation() == incarnation
                        && f.fencing() <= state.endedFencing);
    if (waitedFor) {
      actions.add(new OwnershipAction.FinishHandover(row.owner(), state.id, state.endedFencing));
    }
  }
}
