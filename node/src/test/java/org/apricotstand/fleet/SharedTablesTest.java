package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.port.RowChange;
import org.apricotstand.port.TableSharing;
import org.junit.jupiter.api.Test;

class SharedTablesTest {

  private final List<List<String>> calls = new ArrayList<>();

  // Guards against work for the whole table for each row of an update: with 67 targets a member
  // went through all of them 67 times when it got them.
  @Test
  void rowsOfOneUpdateArriveInOneCallForEachTable() {
    SharedTables tables = new SharedTables(() -> 0, 0, new NoLinks());
    tables.subscribe("servers", 1_000, new Recorder());
    tables.subscribe("op", 1_000, new Recorder());

    tables.apply(List.of(row("servers", "a"), row("op", "b"), row("servers", "c")));
    tables.apply(List.of(row("unknown", "d")));
    tables.apply(List.of());

    assertThat(calls).containsExactly(List.of("a", "c"), List.of("b")).inOrder();
  }

  private static FleetState.TableRow row(String table, String key) {
    return new FleetState.TableRow(table, key, new byte[0], StoreVersion.withoutEra(1), false);
  }

  private final class Recorder implements TableSharing.Listener {

    @Override
    public void onShared(List<RowChange> rows) {
      calls.add(rows.stream().map(change -> change.row().key()).toList());
    }

    @Override
    public boolean onSharedUpTo(StoreVersion fromVersion, StoreVersion version) {
      return true;
    }

    @Override
    public void onSharedRecovery() {}
  }

  private static final class NoLinks implements SharedTables.Links {

    @Override
    public boolean isMesh() {
      return false;
    }

    @Override
    public boolean hasRelay() {
      return true;
    }

    @Override
    public void publish(List<FleetState.TableRow> rows) {}

    @Override
    public void sendToMembers(PeerMessage message) {}
  }
}
