package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apricotstand.peer.PeerMessage;

/**
 * Tells the owner of each engine which adapters are in use there. Not thread-safe; used on the
 * control thread only.
 */
final class AdaptersInUseSender {

  private final String self;
  private final Function<String, String> ownerOf;
  private final BiConsumer<String, Map<String, List<String>>> ownUse;
  private final BiConsumer<String, PeerMessage> sender;
  private final Set<String> recipients = new HashSet<>();

  /**
   * Creates a sender that has told nobody yet.
   *
   * @param ownerOf returns the owner of an engine, or null when none is known
   * @param ownUse gets what concerns the engines of this instance, with its name
   * @param sender sends to an owner
   */
  AdaptersInUseSender(
      String self,
      Function<String, String> ownerOf,
      BiConsumer<String, Map<String, List<String>>> ownUse,
      BiConsumer<String, PeerMessage> sender) {
    this.self = self;
    this.ownerOf = ownerOf;
    this.ownUse = ownUse;
    this.sender = sender;
  }

  /** Sends the adapters in use to all owners, also to those that had some until now. */
  void send(Map<String, Set<String>> adaptersInUse) {
    Map<String, Map<String, Set<String>>> byOwner = new HashMap<>();
    recipients.forEach(owner -> byOwner.put(owner, new TreeMap<>()));
    adaptersInUse.forEach(
        (engine, adapters) -> {
          String owner = ownerOf.apply(engine);
          if (owner != null) {
            byOwner.computeIfAbsent(owner, name -> new TreeMap<>()).put(engine, adapters);
          }
        });
    recipients.clear();
    byOwner.forEach(
        (owner, inUse) -> {
          if (!inUse.isEmpty()) {
            recipients.add(owner);
          }
          Map<String, List<String>> lists = MemberReports.toLists(inUse);
          if (owner.equals(self)) {
            ownUse.accept(owner, lists);
          } else {
            sender.accept(owner, new PeerMessage.AdaptersInUse(lists));
          }
        });
  }
}
