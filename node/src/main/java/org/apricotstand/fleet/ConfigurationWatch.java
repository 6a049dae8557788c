package org.apricotstand.fleet;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;
import org.apricotstand.tenant.ConfigurationFreshness;

/**
 * Asks the relay of this instance how old its knowledge of the configuration is, and answers the
 * members of this instance. Not thread-safe; used on the control thread only.
 */
final class ConfigurationWatch {

  /** Longest time between two questions; a member usually asks right after a read of its relay. */
  private static final long ASK_PERIOD_MS = 600;

  private final LongSupplier clock;
  private final PeerSender peers;
  private final Runnable confirmationListener;
  private final ConfigurationFreshness freshness = new ConfigurationFreshness();
  private boolean asking;
  private long nextAskMs;

  /**
   * Creates a watch that asks nobody.
   *
   * @param clock monotonic time in milliseconds
   * @param confirmationListener runs after a relay has confirmed the configuration
   */
  ConfigurationWatch(LongSupplier clock, PeerSender peers, Runnable confirmationListener) {
    this.clock = clock;
    this.peers = peers;
    this.confirmationListener = confirmationListener;
    this.nextAskMs = clock.getAsLong();
  }

  /** Sets whether the relay is asked, which only a configuration with tenants needs. */
  void setAsking(boolean isAsking) {
    asking = isAsking;
  }

  /**
   * Asks the relay at the next tick, because it has just read the configuration: until its next
   * read it can confirm nothing newer than now.
   */
  void askSoon() {
    nextAskMs = clock.getAsLong();
  }

  /** Returns the latest time at which the configuration was known to be the newest. */
  ConfigurationFreshness freshness() {
    return freshness;
  }

  /** Asks the relay if it is time to. */
  void tick(Optional<String> relay) {
    long nowMs = clock.getAsLong();
    if (asking && relay.isPresent() && nowMs >= nextAskMs) {
      nextAskMs = nowMs + ASK_PERIOD_MS;
      peers.send(new InstanceId(relay.get()), new PeerMessage.ConfigurationAsked(nowMs));
    }
  }

  void answer(String from, PeerMessage.ConfigurationAsked asked) {
    if (freshness.isConfirmed()) {
      long ageMs = clock.getAsLong() - freshness.confirmedMs();
      peers.send(
          new InstanceId(from),
          new PeerMessage.ConfigurationConfirmed(asked.askedMs(), freshness.rowVersion(), ageMs));
    }
  }

  void apply(PeerMessage.ConfigurationConfirmed confirmed) {
    boolean isConfirmed =
        freshness.recordAnswer(
            confirmed.askedMs(), confirmed.rowVersion(), confirmed.ageMs(), clock.getAsLong());
    if (isConfirmed) {
      confirmationListener.run();
    }
  }
}
