package org.apricotstand.fleet;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;

/**
 * Tables that the instances of a simulated fleet read and write, and the number of their calls.
 * Instances that are cut off get no answer until their calls time out.
 */
final class SimulatedStore {

  private static final long CALL_TIMEOUT_MS = 1_200;

  private final Random random = new Random(4);
  private final Map<String, Map<String, Row>> tables = new HashMap<>();
  private final Map<String, Map<String, Integer>> callsByInstance = new TreeMap<>();
  private final Set<String> cutOff = new HashSet<>();
  private long maxAnswerMs = 30;
  private long version = 1;

  /** The store as one instance calls it. */
  final class Client implements RowStore {

    private final SimulatedFleet.Instance instance;
    private final SimulatedFleet fleet;

    Client(SimulatedFleet fleet, SimulatedFleet.Instance instance) {
      this.fleet = fleet;
      this.instance = instance;
    }

    @Override
    public CompletableFuture<List<Row>> readAll(String table) {
      return call("read_" + table, 0)
          .thenApply(read -> List.copyOf(tables.getOrDefault(table, Map.of()).values()));
    }

    /** Returns the version of the store after a wait in which nothing changes. */
    CompletableFuture<StoreVersion> feed(String table, long waitMs) {
      return call("feed_" + table, waitMs);
    }

    /** Returns the version of the store when a table was read. */
    CompletableFuture<StoreVersion> snapshot(String table) {
      return call("read_" + table, 0);
    }

    @Override
    public CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes) {
      return call("write_" + table, 0)
          .<CommitResult>thenApply(
              read -> {
                StoreVersion written = StoreVersion.withoutEra(++version);
                Map<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
                writes.forEach(
                    write -> rows.put(write.key(), new Row(write.key(), write.value(), written)));
                return new CommitResult.Committed(written);
              })
          .exceptionally(failure -> new CommitResult.Failed(failure.toString()));
    }

    /** Answers with the version of the store at the end of the call, in the instance's process. */
    private CompletableFuture<StoreVersion> call(String kind, long waitMs) {
      String name = instance.identity.name();
      callsByInstance.computeIfAbsent(name, any -> new TreeMap<>()).merge(kind, 1, Integer::sum);
      CompletableFuture<StoreVersion> answer = new CompletableFuture<>();
      if (cutOff.contains(name)) {
        instance.runAt(
            fleet.nowMs() + waitMs + CALL_TIMEOUT_MS,
            () -> answer.completeExceptionally(new IOException("no answer")));
      } else {
        instance.runAt(
            fleet.nowMs() + waitMs + 1 + random.nextLong(maxAnswerMs),
            () -> answer.complete(StoreVersion.withoutEra(version)));
      }
      return answer;
    }
  }

  /** Writes a row that no instance reads, so that the version of the store grows. */
  void writeOtherRow() {
    version++;
  }

  /** Sets the longest time that a call takes besides its wait for a change. */
  void setMaxAnswer(long newMaxAnswerMs) {
    maxAnswerMs = newMaxAnswerMs;
  }

  void cutOff(String instance) {
    cutOff.add(instance);
  }

  /** Returns the calls of all instances by kind. */
  Map<String, Integer> calls() {
    Map<String, Integer> sums = new TreeMap<>();
    callsByInstance
        .values()
        .forEach(calls -> calls.forEach((k, n) -> sums.merge(k, n, Integer::sum)));
    return sums;
  }

  /** Returns the calls of one instance by kind. */
  Map<String, Integer> callsOf(String instance) {
    return Map.copyOf(callsByInstance.getOrDefault(instance, Map.of()));
  }

  /** Forgets the calls up to now. */
  void resetCalls() {
    callsByInstance.clear();
  }
}
