package org.apricotstand.residency;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.ModelSpec;
import org.junit.jupiter.api.Test;

class EngineSlotsTest {

  private static final AdapterKey MODEL = new AdapterKey("m", "");
  private static final EngineSpec SPEC =
      new EngineSpec(64, 1_000, 2, List.of(new ModelSpec("m", 500, 5_000, 10)));

  private static final long USAGE_REPORT_LAG_MS = 400;

  private final FakeUsage usage = new FakeUsage();
  private final EngineSlots slots = new EngineSlots(SPEC, usage, 2);

  private static final class FakeUsage implements AdapterUsage {
    private final Set<AdapterKey> inUse = new HashSet<>();
    private final Map<AdapterKey, Double> popularity = new HashMap<>();
    private final Map<AdapterKey, Long> declaredVersions = new HashMap<>();

    @Override
    public boolean isInUse(AdapterKey key) {
      return inUse.contains(key);
    }

    @Override
    public long usageReportLagMs() {
      return USAGE_REPORT_LAG_MS;
    }

    @Override
    public long declaredVersion(AdapterKey key) {
      return declaredVersions.getOrDefault(key, 0L);
    }

    @Override
    public double popularity(AdapterKey key) {
      return popularity.getOrDefault(key, 0.0);
    }
  }

  private static AdapterKey adapter(String name) {
    return new AdapterKey("m", name);
  }

  private static SlotEvent loadRequested(AdapterKey key, long version, long deadlineMs) {
    return new SlotEvent.LoadRequested(key, version, deadlineMs, deadlineMs);
  }

  private static EngineReport report(long sequence, AdapterKey... resident) {
    Map<AdapterKey, Long> held = new HashMap<>(Map.of(MODEL, 1L));
    List.of(resident).forEach(key -> held.put(key, 1L));
    return new EngineReport(sequence, false, held, Set.of());
  }

  private SlotAction.SendCommand handleForCommand(SlotEvent event, long nowMs) {
    return (SlotAction.SendCommand)
        slots.handle(event, nowMs).stream()
            .filter(action -> action instanceof SlotAction.SendCommand)
            .findFirst()
            .orElse(null);
  }

  /** Triggers retirement at the given time and returns when the retired adapters may be evicted. */
  private long retireAndGetEvictableMs(long nowMs) {
    slots.handle(new SlotEvent.Tick(), nowMs);
    return nowMs + USAGE_REPORT_LAG_MS;
  }

  private void startWith(EngineReport report) {
    assertThat(slots.handle(new SlotEvent.Tick(), 0)).contains(new SlotAction.RequestReport());
    slots.handle(new SlotEvent.ReportReceived(report), 1);
  }

  // Guards against a command that takes effect late, after other commands changed the engine.
  @Test
  void eachCommandExpectsTheSequenceAfterTheLastAcceptedOne() {
    startWith(report(4));
    SlotAction.SendCommand first = handleForCommand(loadRequested(adapter("a1"), 0, 9_000), 2);
    assertThat(first.command()).isEqualTo(new EngineCommand.Load(adapter("a1"), 0));
    assertThat(first.expectedSequence()).isEqualTo(4);
    assertThat(handleForCommand(loadRequested(adapter("a2"), 0, 9_000), 3)).isNull();
    SlotAction.SendCommand second =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, first.commandId()), 4);
    assertThat(second.command()).isEqualTo(new EngineCommand.Load(adapter("a2"), 0));
    assertThat(second.expectedSequence()).isEqualTo(5);
  }

  // Guards against more adapters than the engine has slots for, which makes it crash.
  @Test
  void evictsTheLeastPopularIdleAdapterWhenFull() {
    startWith(report(0, adapter("a1"), adapter("a2")));
    usage.popularity.put(adapter("a1"), 3.0);
    usage.popularity.put(adapter("a2"), 5.0);
    long nowMs = retireAndGetEvictableMs(2);
    SlotAction.SendCommand send = handleForCommand(loadRequested(adapter("a3"), 0, 9_000), nowMs);
    assertThat(send.command()).isEqualTo(new EngineCommand.Unload(adapter("a1")));
    SlotAction.SendCommand load =
        handleForCommand(new SlotEvent.CommandAnswered(CommandResult.HOLDS, send.commandId()), 3);
    assertThat(load.command()).isEqualTo(new EngineCommand.Load(adapter("a3"), 0));
  }

  // Guards against the eviction of an adapter that requests use.
  @Test
  void keepsAdaptersInUse() {
    startWith(report(0, adapter("a1"), adapter("a2")));
    usage.inUse.add(adapter("a1"));
    usage.inUse.add(adapter("a2"));
    assertThat(handleForCommand(loadRequested(adapter("a3"), 0, 9_000), 2)).isNull();
  }

  // Guards against an outdated version of an adapter that stays because the adapter is popular.
  @Test
  void evictsAnOutdatedAdapterFirst() {
    startWith(report(0, adapter("a1"), adapter("a2")));
    usage.popularity.put(adapter("a2"), 5.0);
    usage.declaredVersions.put(adapter("a2"), 2L);
    long nowMs = retireAndGetEvictableMs(2);
    SlotAction.SendCommand send = handleForCommand(loadRequested(adapter("a3"), 0, 9_000), nowMs);
    assertThat(send.command()).isEqualTo(new EngineCommand.Unload(adapter("a2")));
  }

  // Guards against a replacement that blocks all commands to the engine until long requests end.
  @Test
  void replacesOnlyAnIdleAdapter() {
    startWith(report(0, adapter("a1")));
    usage.inUse.add(adapter("a1"));
    assertThat(handleForCommand(loadRequested(adapter("a1"), 2, 9_000), 2)).isNull();
    SlotAction.SendCommand other = handleForCommand(loadRequested(adapter("a2"), 0, 9_000), 3);
    assertThat(other.command()).isEqualTo(new EngineCommand.Load(adapter("a2"), 0));
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, other.commandId()), 4);
    assertThat(handleForCommand(new SlotEvent.Tick(), 2 + USAGE_REPORT_LAG_MS - 200)).isNull();
    usage.inUse.clear();
    SlotAction.SendCommand check = handleForCommand(new SlotEvent.Tick(), 2 + USAGE_REPORT_LAG_MS);
    SlotAction.SendCommand replacing =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.HOLDS, check.commandId()), 410);
    assertThat(replacing.command()).isEqualTo(new EngineCommand.Load(adapter("a1"), 2));
  }

  // Guards against a second replacement: engines accepted the repeated command and then refused all
  // others until the end of the day.
  @Test
  void checksAReplacementByReportsOnly() {
    startWith(report(0, adapter("a1")));
    assertThat(handleForCommand(loadRequested(adapter("a1"), 2, 90_000), 2)).isNull();
    long idleMs = 2 + USAGE_REPORT_LAG_MS;
    SlotAction.SendCommand replacing = handleForCommand(new SlotEvent.Tick(), idleMs);
    slots.handle(
        new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, replacing.commandId()), idleMs + 1);
    for (long afterMs = 10; afterMs < EngineSlots.ENGINE_REPORT_LAG_MS; afterMs += 10) {
      assertThat(slots.handle(new SlotEvent.Tick(), idleMs + afterMs)).isEmpty();
    }
    assertThat(slots.handle(new SlotEvent.Tick(), 2_000)).contains(new SlotAction.RequestReport());
    EngineReport done = new EngineReport(1, false, Map.of(MODEL, 1L, adapter("a1"), 2L), Set.of());
    List<SlotAction> actions = slots.handle(new SlotEvent.ReportReceived(done), 2_001);
    assertThat(actions).hasSize(1);
    assertThat(slots.residency().serves(adapter("a1"), 2)).isTrue();
  }

  // Guards against an engine that gets no more commands because one call never returned a result.
  @Test
  void aCommandWithoutResultCountsAsUnanswered() {
    startWith(report(0));
    SlotAction.SendCommand load = handleForCommand(loadRequested(adapter("a1"), 0, 90_000), 2);
    long overdueMs = 2 + EngineSlots.CALL_TIMEOUT_MS;
    SlotAction.SendCommand again = handleForCommand(new SlotEvent.Tick(), overdueMs);
    assertThat(again.command()).isEqualTo(load.command());
    assertThat(
            handleForCommand(
                new SlotEvent.CommandAnswered(CommandResult.REFUSED, load.commandId()), 9_000))
        .isNull();
    assertThat(slots.isActive()).isTrue();
  }

  // Guards against a gap of most of a second after each lost command. In one run, a third of the
  // commands got no answer for 18 s and were carried out seconds later.
  @Test
  void resendsAnUnansweredCommandAtOnceWithTheSameSequence() {
    startWith(report(7));
    SlotAction.SendCommand lost = handleForCommand(loadRequested(adapter("a1"), 0, 90_000), 2);
    SlotAction.SendCommand again =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.UNANSWERED, lost.commandId()), 252);
    assertThat(again.command()).isEqualTo(lost.command());
    // The engine refuses whichever of the two commands arrives second.
    assertThat(again.expectedSequence()).isEqualTo(lost.expectedSequence());
    SlotAction.SendCommand next = handleForCommand(loadRequested(adapter("a2"), 0, 90_000), 253);
    assertThat(next).isNull();
    next =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, again.commandId()), 260);
    assertThat(next.expectedSequence()).isEqualTo(8);
  }

  // Guards against a sequence that is never verified while no command is answered.
  @Test
  void requestsAReportAfterSeveralUnansweredCommands() {
    startWith(report(7));
    SlotAction.SendCommand send = handleForCommand(loadRequested(adapter("a1"), 0, 90_000), 2);
    for (int lost = 1; lost < EngineSlots.MAX_CONSECUTIVE_UNANSWERED; lost++) {
      send =
          handleForCommand(
              new SlotEvent.CommandAnswered(CommandResult.UNANSWERED, send.commandId()),
              250L * lost);
    }
    assertThat(
            handleForCommand(
                new SlotEvent.CommandAnswered(CommandResult.UNANSWERED, send.commandId()), 1_000))
        .isNull();
    assertThat(slots.handle(new SlotEvent.Tick(), 1_000 + EngineSlots.ENGINE_REPORT_LAG_MS))
        .contains(new SlotAction.RequestReport());
  }

  // Guards against requests sent to an engine before it has loaded the adapter.
  @Test
  void anAdapterIsResidentOnceTheEngineConfirmsTheLoad() {
    startWith(report(0));
    SlotAction.SendCommand load = handleForCommand(loadRequested(adapter("a1"), 0, 9_000), 2);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, load.commandId()), 3);
    assertThat(slots.residency().serves(adapter("a1"), 0)).isFalse();
    assertThat(slots.residency().loading()).containsExactly(adapter("a1"));
    SlotAction.SendCommand check =
        handleForCommand(new SlotEvent.Tick(), 3 + EngineSlots.ADAPTER_LOAD_MS);
    assertThat(check.command()).isEqualTo(load.command());
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.HOLDS, check.commandId()), 300);
    assertThat(slots.residency().serves(adapter("a1"), 0)).isTrue();
  }

  // Guards against an engine that restarted empty and stays without a model.
  @Test
  void loadsTheModelOfAnEmptyEngine() {
    slots.handle(new SlotEvent.Tick(), 0);
    SlotAction.SendCommand send =
        handleForCommand(
            new SlotEvent.ReportReceived(new EngineReport(0, false, Map.of(), Set.of())), 1);
    assertThat(send.command()).isEqualTo(new EngineCommand.Load(MODEL, 0));
  }

  // Guards against a recorded sequence higher than that of the engine. An engine accepts a command
  // that is already in progress again without counting it; when the check was counted here, every
  // later command was refused for the whole day.
  @Test
  void anAcceptedCheckDoesNotAdvanceTheSequence() {
    startWith(report(4));
    SlotAction.SendCommand load = handleForCommand(loadRequested(adapter("a1"), 0, 9_000), 2);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, load.commandId()), 3);
    SlotAction.SendCommand check =
        handleForCommand(new SlotEvent.Tick(), 3 + EngineSlots.ADAPTER_LOAD_MS);
    assertThat(check.expectedSequence()).isEqualTo(5);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, check.commandId()), 260);
    SlotAction.SendCommand again = handleForCommand(new SlotEvent.Tick(), 400);
    assertThat(again.expectedSequence()).isEqualTo(5);
  }

  // Guards against an engine that stays unusable once its recorded sequence is wrong.
  @Test
  void requestsAReportWhenChecksKeepConflicting() {
    startWith(report(4));
    SlotAction.SendCommand load = handleForCommand(loadRequested(adapter("a1"), 0, 90_000), 2);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, load.commandId()), 3);
    boolean reportRequested = false;
    for (long nowMs = 300; nowMs < 2_000 && !reportRequested; nowMs += 50) {
      List<SlotAction> actions = slots.handle(new SlotEvent.Tick(), nowMs);
      reportRequested = actions.contains(new SlotAction.RequestReport());
      for (SlotAction action : actions) {
        if (action instanceof SlotAction.SendCommand sent) {
          slots.handle(
              new SlotEvent.CommandAnswered(CommandResult.CONFLICT, sent.commandId()), nowMs + 5);
        }
      }
    }
    assertThat(reportRequested).isTrue();
  }

  // Guards against a burst of rare adapters in which each is evicted before its request is sent.
  @Test
  void keepsAnAdapterThatWasJustLoaded() {
    startWith(report(0, adapter("a1")));
    usage.popularity.put(adapter("a1"), 9.0);
    SlotAction.SendCommand load = handleForCommand(loadRequested(adapter("a2"), 0, 9_000), 2);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, load.commandId()), 3);
    SlotAction.SendCommand check = handleForCommand(new SlotEvent.Tick(), 300);
    slots.handle(new SlotEvent.CommandAnswered(CommandResult.HOLDS, check.commandId()), 301);
    long nowMs = retireAndGetEvictableMs(302);
    SlotAction.SendCommand victim = handleForCommand(loadRequested(adapter("a3"), 0, 9_000), nowMs);
    assertThat(victim.command()).isEqualTo(new EngineCommand.Unload(adapter("a1")));
  }

  // Guards against loads for callers that stopped waiting.
  @Test
  void dropsQueuedLoadsPastTheirDeadline() {
    startWith(report(0));
    SlotAction.SendCommand first = handleForCommand(loadRequested(adapter("a1"), 0, 9_000), 2);
    slots.handle(loadRequested(adapter("a2"), 0, 500), 3);
    slots.handle(new SlotEvent.Tick(), 600);
    assertThat(
            handleForCommand(
                new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, first.commandId()), 601))
        .isNull();
  }

  // Guards against the eviction of an adapter whose use is not reported yet: the engine then
  // carries out no other command until that use ends, and all other loads wait for seconds.
  @Test
  void evictsNothingWhoseUseMayNotBeReportedYet() {
    startWith(report(0, adapter("a1"), adapter("a2")));
    usage.popularity.put(adapter("a2"), 5.0);
    long evictableMs = retireAndGetEvictableMs(2);
    assertThat(handleForCommand(loadRequested(adapter("a3"), 0, 9_000), 3)).isNull();
    assertThat(slots.residency().resident()).doesNotContainKey(adapter("a1"));
    usage.inUse.add(adapter("a1"));
    assertThat(handleForCommand(new SlotEvent.Tick(), evictableMs)).isNull();
    assertThat(slots.residency().resident()).containsKey(adapter("a1"));
    SlotAction.SendCommand send =
        handleForCommand(new SlotEvent.Tick(), evictableMs + USAGE_REPORT_LAG_MS);
    assertThat(send.command()).isEqualTo(new EngineCommand.Unload(adapter("a2")));
  }

  // Guards against a load of an adapter that the engine still holds.
  @Test
  void aRequestedRetiredAdapterIsResidentAgainAtOnce() {
    startWith(report(0, adapter("a1"), adapter("a2")));
    usage.popularity.put(adapter("a2"), 5.0);
    retireAndGetEvictableMs(2);
    assertThat(slots.residency().serves(adapter("a1"), 0)).isFalse();
    assertThat(handleForCommand(loadRequested(adapter("a1"), 0, 9_000), 3)).isNull();
    assertThat(slots.residency().serves(adapter("a1"), 0)).isTrue();
  }

  // Guards against an overload in which all requests wait so long that none is answered in time.
  @Test
  void loadsRequestsThatCanStillBeInTimeFirst() {
    startWith(report(0));
    SlotAction.SendCommand first = handleForCommand(loadRequested(adapter("a9"), 0, 9_000), 2);
    slots.handle(new SlotEvent.LoadRequested(adapter("a1"), 0, 9_000, 100), 3);
    slots.handle(new SlotEvent.LoadRequested(adapter("a2"), 0, 8_000, 700), 4);
    slots.handle(new SlotEvent.LoadRequested(adapter("a3"), 0, 7_000, 600), 5);
    SlotAction.SendCommand second =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, first.commandId()), 200);
    assertThat(second.command()).isEqualTo(new EngineCommand.Load(adapter("a3"), 0));
  }

  // Guards against late requests that are overtaken by requests that are late as well.
  @Test
  void loadsLateRequestsInOrderOfLatestStart() {
    startWith(report(0));
    SlotAction.SendCommand first = handleForCommand(loadRequested(adapter("a9"), 0, 9_000), 2);
    slots.handle(new SlotEvent.LoadRequested(adapter("a1"), 0, 9_000, 100), 3);
    slots.handle(new SlotEvent.LoadRequested(adapter("a2"), 0, 9_000, 90), 4);
    SlotAction.SendCommand second =
        handleForCommand(
            new SlotEvent.CommandAnswered(CommandResult.ACCEPTED, first.commandId()), 200);
    assertThat(second.command()).isEqualTo(new EngineCommand.Load(adapter("a2"), 0));
  }
}
