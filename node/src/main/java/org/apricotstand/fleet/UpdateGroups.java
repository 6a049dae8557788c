package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerLinks;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.StateEntry;

/** Groups the receivers of equal updates, so that each update is encoded once. */
final class UpdateGroups {

  private final Map<UpdateId, PeerMessage.StateUpdate> updates = new HashMap<>();
  private final Map<UpdateId, List<InstanceId>> receivers = new HashMap<>();

  /** Identifies an update by the versions of its entries, without comparing their content. */
  private record UpdateId(boolean requested, List<EntryId> entries) {

    static UpdateId of(PeerMessage.StateUpdate update) {
      return new UpdateId(update.requested(), update.entries().stream().map(EntryId::of).toList());
    }
  }

  private record EntryId(String key, long epoch, long sequence) {

    static EntryId of(StateEntry entry) {
      return new EntryId(entry.key(), entry.epoch(), entry.sequence());
    }
  }

  void add(String receiver, PeerMessage.StateUpdate update) {
    UpdateId id = UpdateId.of(update);
    updates.putIfAbsent(id, update);
    receivers.computeIfAbsent(id, key -> new ArrayList<>()).add(new InstanceId(receiver));
  }

  void sendTo(PeerLinks peers) {
    updates.forEach((id, update) -> peers.sendToAll(receivers.get(id), update));
  }
}
