package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.peer.FleetState;
import org.apricotstand.port.RowChange;
import org.apricotstand.port.TableSharing;
import org.apricotstand.tenant.FreshnessBounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Counts the calls to the store of a simulated fleet, whose configuration has tenants, and checks
 * that new instances become known all the same.
 */
class StoreCallsOfFleetTest {

  private static final int INSTANCES = 63;
  private static final int DOMAINS = 4;
  private static final int MEMBERS = INSTANCES - DOMAINS;
  private static final long CONFIGURATION_WAIT_MS = 1_000;
  private static final long TARGETS_PERIOD_MS = 700;

  /** Time of one step, in which targets that report change the version of the store. */
  private static final long STEP_MS = 20;

  private final SimulatedStore store = new SimulatedStore();
  private final Map<String, InstanceDirectory> directories = new HashMap<>();
  private final SimulatedFleet fleet = new SimulatedFleet(INSTANCES, DOMAINS, 63);
  private FreshnessBounds bounds;

  /** Polls a table as the serving program does, for which nothing but its version changes. */
  private final class Reader implements TableSharing.Listener {
    private final SimulatedFleet.Instance instance;
    private final SimulatedStore.Client client;
    private final TableSharing tables;
    private final ConfigurationWatch watch;
    private final String table;
    private final long waitMs;
    private final long pauseMs;
    private final boolean isConfiguration;
    private boolean hasSnapshot;
    private StoreVersion snapshotVersion = StoreVersion.NONE;
    private StoreVersion version = StoreVersion.NONE;

    Reader(SimulatedFleet.Instance instance, String table, long waitMs, long pauseMs) {
      this.instance = instance;
      this.client = store.new Client(fleet, instance);
      this.tables = instance.exchange.tables();
      this.watch = instance.exchange.configurationWatch();
      this.table = table;
      this.waitMs = waitMs;
      this.pauseMs = pauseMs;
      this.isConfiguration = waitMs > 0;
    }

    void start() {
      tables.subscribe(table, Math.max(waitMs, pauseMs), this);
      poll();
    }

    private boolean isUrgent() {
      return isConfiguration && bounds.mustRead(watch.freshness().confirmedMs(), fleet.nowMs());
    }

    private void poll() {
      boolean urgent = isUrgent();
      if (hasSnapshot && !urgent && !tables.mustRead(table)) {
        instance.runAt(fleet.nowMs() + 100, this::poll);
        return;
      }
      long sentMs = fleet.nowMs();
      (hasSnapshot ? client.feed(table, urgent ? 0 : waitMs) : client.snapshot(table))
          .whenComplete((read, failure) -> handle(read, failure, sentMs, urgent));
    }

    private void handle(StoreVersion read, Throwable failure, long sentMs, boolean urgent) {
      long usualPauseMs = urgent ? Math.max(pauseMs, 100) : pauseMs;
      instance.runAt(fleet.nowMs() + (failure == null ? usualPauseMs : 250), this::poll);
      if (failure != null) {
        return;
      }
      version = version.max(read);
      if (hasSnapshot) {
        tables.share(table, List.of(), snapshotVersion, version);
      } else {
        hasSnapshot = true;
        snapshotVersion = read;
      }
      if (isConfiguration) {
        watch.freshness().recordRead(sentMs);
      }
    }

    @Override
    public void onShared(List<RowChange> rows) {}

    @Override
    public boolean onSharedUpTo(StoreVersion fromVersion, StoreVersion sharedVersion) {
      boolean knowsAllBefore = hasSnapshot && !fromVersion.isAfter(version);
      if (knowsAllBefore) {
        version = version.max(sharedVersion);
        if (isConfiguration) {
          watch.askSoon();
        }
      }
      return knowsAllBefore;
    }

    @Override
    public void onSharedRecovery() {}
  }

  private void startReading(SimulatedFleet.Instance instance) {
    instance.exchange.configurationWatch().setAsking(true);
    new Reader(instance, "op", bounds.readWaitMs(CONFIGURATION_WAIT_MS), 0).start();
    new Reader(instance, "servers", 0, TARGETS_PERIOD_MS).start();
    InstanceRecord own =
        new InstanceRecord(
            instance.identity.name(),
            instance.identity.domain(),
            "127.0.0.1",
            1 + directories.size(),
            instance.identity.relayCapacity());
    InstanceDirectory directory =
        new InstanceDirectory(
            own,
            store.new Client(fleet, instance),
            action -> instance.runAt(fleet.nowMs(), action),
            fleet::nowMs);
    directories.put(own.name(), directory);
    directory.setListener(instance.exchange::setInstances);
    directory.start(instance.exchange.tables());
    instance.tickListener = directory::tick;
  }

  private void startFleet(boolean strictRevoke) {
    bounds = new FreshnessBounds(strictRevoke, 5_000, 3_000);
    fleet.setStartListener(this::startReading);
  }

  private void run(long durationMs) {
    for (long ranMs = 0; ranMs < durationMs; ranMs += STEP_MS) {
      store.writeOtherRow();
      fleet.run(STEP_MS);
    }
  }

  private Set<String> relays() {
    return fleet.running().stream()
        .filter(instance -> instance.exchange.tables().role() == TableSharing.Role.RELAY)
        .map(instance -> instance.identity.name())
        .collect(Collectors.toSet());
  }

  private SimulatedFleet.Instance relayOf(String domain) {
    return fleet.get(
        relays().stream()
            .filter(name -> fleet.get(name).identity.domain().equals(domain))
            .findFirst()
            .orElseThrow());
  }

  private void assertOnlyRelaysCall() {
    assertThat(relays()).hasSize(DOMAINS);
    for (SimulatedFleet.Instance instance : fleet.running()) {
      String name = instance.identity.name();
      if (!relays().contains(name)) {
        assertWithMessage("calls of %s", name).that(store.callsOf(name)).isEmpty();
      }
    }
  }

  private void assertAtMost(Map<String, Integer> bound) {
    Map<String, Integer> calls = store.calls();
    assertWithMessage("kinds of calls")
        .that(bound.keySet())
        .containsAtLeastElementsIn(calls.keySet());
    calls.forEach(
        (kind, count) ->
            assertWithMessage("%s of %s", kind, calls).that(count).isAtMost(bound.get(kind)));
  }

  private Set<String> knowing(String newInstance) {
    return fleet.running().stream()
        .map(instance -> instance.identity.name())
        .filter(name -> directories.get(name).addressOf(new InstanceId(newInstance)) != null)
        .collect(Collectors.toSet());
  }

  private Set<String> allExcept(String name) {
    return fleet.running().stream()
        .map(instance -> instance.identity.name())
        .filter(other -> !other.equals(name))
        .collect(Collectors.toSet());
  }

  // Guards against calls to the store that grow with the number of instances: members that go on
  // reading what their relay reads, or that read because it confirms the configuration too late.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFleetThatStartsTogetherMakesFewCalls(boolean strictRevoke) {
    startFleet(strictRevoke);
    run(20_000);
    long configurationReads = 20_000 / bounds.readWaitMs(CONFIGURATION_WAIT_MS);
    assertAtMost(
        Map.of(
            "write_instances",
            INSTANCES,
            "read_op",
            INSTANCES,
            "read_servers",
            INSTANCES,
            "feed_op",
            (int) (DOMAINS * configurationReads) + 2 * MEMBERS,
            "feed_servers",
            DOMAINS * 29 + MEMBERS,
            "read_instances",
            DOMAINS * 14 + 2 * INSTANCES));
    store.resetCalls();
    run(20_000);
    assertOnlyRelaysCall();
    assertAtMost(
        Map.of(
            "feed_op", (int) (DOMAINS * configurationReads),
            "feed_servers", DOMAINS * 29,
            "read_instances", DOMAINS * 14));
  }

  // Guards against members that read the configuration themselves although their relay confirms it,
  // because a confirmation arrives just before the relay has a newer one.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void membersReadNothingWhileTheStoreIsSlow(boolean strictRevoke) {
    startFleet(strictRevoke);
    store.setMaxAnswer(200);
    run(10_000);
    store.resetCalls();
    run(10_000);
    assertOnlyRelaysCall();
  }

  // Guards against a new instance that others cannot call for long, because they no longer read the
  // table of instances themselves. One of them cannot call the store at all.
  @Test
  void aNewInstanceIsKnownToTheRelaysFirstAndThenToAll() {
    startFleet(true);
    run(10_000);
    Set<String> relays = relays();
    fleet.where(instance -> !relays.contains(instance.identity.name())).stream()
        .findFirst()
        .ifPresent(member -> store.cutOff(member.identity.name()));
    fleet.add("new", "d1");
    run(2_000);
    assertThat(knowing("new")).containsAtLeastElementsIn(relays);
    run(1_000);
    assertThat(knowing("new")).isEqualTo(allExcept("new"));
  }

  // Guards against members that learn of no new instance because their relay, which they still
  // hear, has lost the store, and their domain the others.
  @Test
  void membersReadThemselvesWhenTheirRelayLosesTheStore() {
    startFleet(true);
    run(10_000);
    store.cutOff(relayOf("d1").identity.name());
    fleet.cut("d1");
    run(4_000);
    fleet.add("new", "d0");
    run(3_200);
    Set<String> relays = relays();
    Set<String> members =
        fleet.where(instance -> instance.identity.domain().equals("d1")).stream()
            .map(instance -> instance.identity.name())
            .filter(name -> !relays.contains(name))
            .collect(Collectors.toSet());
    assertThat(members).isNotEmpty();
    assertThat(knowing("new")).containsAtLeastElementsIn(members);
  }

  // Guards against a fleet that learns of no new instance after the loss of a relay, or whose
  // members go on reading after another one has taken over.
  @Test
  void aNewInstanceIsKnownAfterTheLossOfARelay() {
    startFleet(true);
    run(10_000);
    fleet.kill(relayOf("d1"));
    fleet.add("new", "d1");
    run(5_000);
    assertThat(knowing("new")).isEqualTo(allExcept("new"));
    run(5_000);
    store.resetCalls();
    run(5_000);
    assertOnlyRelaysCall();
  }

  // Guards against an address that an instance no longer has, and that a relay passes on late.
  @Test
  void anOlderRowDoesNotReplaceANewerOne() {
    startFleet(false);
    run(5_000);
    InstanceDirectory directory = directories.get("n5");
    InetSocketAddress address = directory.addressOf(new InstanceId("n7"));
    InstanceRecord before = new InstanceRecord("n7", "d3", "127.0.0.9", 9, 0);
    FleetState.TableRow late =
        new FleetState.TableRow(
            "instances", "n7", before.encode(), StoreVersion.withoutEra(1), false);
    fleet.get("n5").exchange.tables().apply(List.of(late));
    assertThat(directory.addressOf(new InstanceId("n7"))).isEqualTo(address);
  }
}
