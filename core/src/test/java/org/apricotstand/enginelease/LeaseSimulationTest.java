package org.apricotstand.enginelease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs many simulated fleets, one for each seed. {@code bin/check-leases COUNT} runs more of them
 * than the build does.
 */
class LeaseSimulationTest {

  private static final int SIMULATIONS = Integer.getInteger("apricotstand.worlds", 150);

  private static void assertOneOwnerAtATime(long seed, boolean isRestored) {
    Map<String, List<LeaseSimulation.Command>> commandsByEngine =
        new LeaseSimulation(seed, isRestored)
            .run().stream().collect(Collectors.groupingBy(c -> c.engine()));
    commandsByEngine.forEach((engine, commands) -> assertOneOwnerAtATime(seed, commands));
  }

  private static void assertOneOwnerAtATime(long seed, List<LeaseSimulation.Command> commands) {
    Map<Long, String> ownersByFencingNumber = new HashMap<>();
    for (int i = 0; i < commands.size(); i++) {
      LeaseSimulation.Command command = commands.get(i);
      String owner = ownersByFencingNumber.putIfAbsent(command.fencingNumber(), command.owner());
      assertWithMessage("seed %s: two owners with one fencing token: %s", seed, command)
          .that(owner == null || owner.equals(command.owner()))
          .isTrue();
      if (i > 0) {
        assertMayFollow(seed, commands.get(i - 1), command);
      }
    }
  }

  private static void assertMayFollow(
      long seed, LeaseSimulation.Command before, LeaseSimulation.Command command) {
    assertWithMessage("seed %s: fencing token falls: %s after %s", seed, command, before)
        .that(command.fencingNumber())
        .isAtLeast(before.fencingNumber());
    if (!command.owner().equals(before.owner())) {
      assertWithMessage(
              "seed %s: no handover pause between two owners: %s after %s", seed, command, before)
          .that(command.atMs() - before.atMs())
          .isAtLeast(LeaseSimulation.HANDOVER_PAUSE_MS);
    }
  }

  // Guards against commands of two owners to one engine without the required pause between them,
  // under faults of the store, the links and the processes.
  @Test
  void commandsOfTwoOwnersAreSeparatedByTheHandoverPause() {
    LongStream.rangeClosed(1, SIMULATIONS).forEach(seed -> assertOneOwnerAtATime(seed, false));
  }

  // Guards against two owners, or a lower fencing token after a higher one, after the store was
  // restored from an older copy and so lost leases or brought back earlier ones. Copies are 1 to
  // 10 s old, the store is away for up to 5 s, and restores follow each other, beside all other
  // faults.
  @Test
  void aRestoredStoreNeverLeadsToTwoOwners() {
    LongStream.rangeClosed(1, SIMULATIONS).forEach(seed -> assertOneOwnerAtATime(seed, true));
  }

  // Guards against simulations of a restored store that prove nothing, because it is not restored
  // or
  // engines have no owner after that.
  @Test
  void enginesHaveOwnersAgainAfterARestore() {
    int restores = 0;
    int commands = 0;
    for (long seed = 1; seed <= 20; seed++) {
      LeaseSimulation simulation = new LeaseSimulation(seed, true);
      commands += simulation.run().size();
      restores += simulation.restoreCount();
    }
    assertWithMessage("restores").that(restores).isAtLeast(30);
    assertWithMessage("commands").that(commands).isGreaterThan(15_000);
  }

  // Guards against simulations that prove nothing because no command is sent or no engine changes
  // its owner.
  @Test
  void simulatedEnginesHaveOwnersAndChangeThem() {
    List<LeaseSimulation.Command> commands =
        LongStream.rangeClosed(1, 20)
            .boxed()
            .flatMap(seed -> new LeaseSimulation(seed, false).run().stream())
            .toList();
    assertWithMessage("commands").that(commands.size()).isGreaterThan(20_000);
    long owners = commands.stream().map(c -> c.engine() + c.owner()).distinct().count();
    assertWithMessage("pairs of engine and owner").that(owners).isGreaterThan(6);
  }
}
