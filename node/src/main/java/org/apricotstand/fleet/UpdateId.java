package org.apricotstand.fleet;

import java.util.List;
import org.apricotstand.peer.StateEntry;

/** Identifies an update by the versions of its entries, without comparing their content. */
record UpdateId(boolean requested, List<EntryId> entries) {

  /** Identifies the version of an entry. */
  record EntryId(String key, long epoch, long sequence) {}

  static UpdateId of(boolean requested, List<StateEntry> entries) {
    return new UpdateId(
        requested,
        entries.stream()
            .map(entry -> new EntryId(entry.key(), entry.epoch(), entry.sequence()))
            .toList());
  }
}
