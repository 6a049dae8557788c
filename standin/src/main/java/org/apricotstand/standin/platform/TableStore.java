package org.apricotstand.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;

/** Keeps table rows in memory and commits conditional transactions over several rows. */
final class TableStore {

  private final Map<String, TreeMap<String, Row>> rowsByTable = new TreeMap<>();
  private long lastVersion;

  /** Applies all writes if each condition names the current version of its row, otherwise none. */
  CommitResult commit(Transaction transaction) {
    boolean conditionsHold = transaction.conditions().stream().allMatch(this::holds);
    if (!conditionsHold) {
      return new CommitResult.Conflict(
          transaction.conditions().stream()
              .map(condition -> read(condition.table(), condition.key()))
              .flatMap(Optional::stream)
              .toList());
    }
    List<Long> versions = new ArrayList<>();
    transaction.writes().forEach(write -> versions.add(write(write)));
    return new CommitResult.Committed(versions);
  }

  Optional<Row> read(String table, String key) {
    return Optional.ofNullable(table(table).get(key));
  }

  List<Row> scan(String table, String prefix) {
    return table(table).tailMap(prefix).values().stream()
        .takeWhile(row -> row.key().startsWith(prefix))
        .toList();
  }

  /** Returns whether the row has the expected version; an absent row has version 0. */
  private boolean holds(Condition condition) {
    long version = read(condition.table(), condition.key()).map(Row::version).orElse(0L);
    return version == condition.version();
  }

  private long write(Write write) {
    lastVersion++;
    JsonNode value = write.value();
    if (value == null || value.isNull()) {
      table(write.table()).remove(write.key());
    } else {
      table(write.table())
          .put(write.key(), new Row(write.table(), write.key(), lastVersion, value));
    }
    return lastVersion;
  }

  private TreeMap<String, Row> table(String name) {
    return rowsByTable.computeIfAbsent(name, unused -> new TreeMap<>());
  }
}
