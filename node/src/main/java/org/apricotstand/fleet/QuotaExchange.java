package org.apricotstand.fleet;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.apricotstand.observe.EventLog;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.quota.FleetQuotas;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaLender;
import org.apricotstand.quota.QuotaLimit;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.quota.TenantUse;
import org.apricotstand.quota.TenantUseMeter;

/**
 * What the exchange carries for the quotas of tenants: the demand in reports and in sums. Carries
 * nothing while no tenant has a limit. Not thread-safe; used on the control thread only.
 */
final class QuotaExchange {

  private static final EventLog LOG = EventLog.of(QuotaExchange.class);

  private final LongSupplier clock;
  private final LocalLoadTracker localLoad;
  private final FleetQuotas quotas;
  private final TenantUseMeter meter;
  private final QuotaLender lender;
  private boolean inContact;

  /** Creates the exchange of an instance whose tenants have no limits. */
  QuotaExchange(LongSupplier clock, String self, QuotaBounds bounds, LocalLoadTracker localLoad) {
    this.clock = clock;
    this.localLoad = localLoad;
    this.quotas = new FleetQuotas(self, bounds, clock.getAsLong());
    this.lender = new QuotaLender(bounds, clock.getAsLong());
    this.meter = new TenantUseMeter(bounds.windowMs(), clock.getAsLong());
  }

  /** Sets the limits of all tenants that have one. */
  void setLimits(Map<String, QuotaLimit> limits) {
    quotas.setLimits(limits);
    lender.setLimits(limits);
  }

  /** Sets the number of registered instances with this one; 0 while it is not known. */
  void setInstances(int instances) {
    quotas.setInstances(instances);
  }

  /** Returns what the report with a number contains, which is sent now. */
  Map<String, TenantUse> takeUses(long sequence) {
    // Taken also without limits, so that a limit that is set later finds no old demand.
    Map<String, Long> offered = localLoad.takeOffered();
    Map<String, Long> admitted = localLoad.takeAdmitted();
    long nowMs = clock.getAsLong();
    Map<String, TenantUse> uses =
        quotas.hasLimits() ? new TreeMap<>(meter.update(offered, admitted, nowMs)) : Map.of();
    quotas.recordReport(sequence, uses, nowMs);
    return uses;
  }

  /** Returns the number that the next report names; to be read before {@link #takeUses}. */
  long settledLoans() {
    return quotas.hasLimits() ? localLoad.settledLoans() : 0;
  }

  /** Records that the sums of the relay include a report of this instance. */
  void onReportIncluded(long sequence) {
    quotas.confirmReport(sequence, clock.getAsLong());
  }

  /** Records a report that the next sums of this relay include. */
  void onReport(String member, long settledLoans, boolean isNewProcess) {
    if (isNewProcess) {
      lender.recordLost(member);
    }
    lender.recordReport(member, settledLoans);
  }

  /** Records that a member is not included any more. */
  void onMemberSilent(String member) {
    lender.recordLost(member);
  }

  /** Returns the sums that this relay publishes now, with what it has lent. */
  Map<String, TenantUse> withOpenLoans(Map<String, TenantUse> sums) {
    long nowMs = clock.getAsLong();
    lender.recordPublished(nowMs);
    lender
        .openLoans(nowMs)
        .forEach((tenant, cost) -> sums.merge(tenant, new TenantUse(0, cost), TenantUse::plus));
    return sums;
  }

  /** Returns the answer of this relay to a member, or to itself. */
  PeerMessage.QuotaLent lend(String member, PeerMessage.QuotaWanted wanted) {
    boolean isLent =
        lender.lend(member, wanted.number(), wanted.tenant(), wanted.amount(), clock.getAsLong());
    return new PeerMessage.QuotaLent(
        wanted.number(), wanted.tenant(), isLent ? wanted.amount() : 0);
  }

  /** Returns the hash of the relays that this instance hears; 0 without limits. */
  long scope() {
    return quotas.hasLimits() ? quotas.scope(clock.getAsLong()) : 0;
  }

  /** Records what a relay published for the instances that report to it. */
  void onLoad(FleetState.RelayedLoad load, Set<String> members) {
    quotas.putRelay(load.relay(), members, load.scope(), load.tenants(), clock.getAsLong());
  }

  /** Returns the fractions of the limits that this instance may use. */
  QuotaShares shares(String ownRelay) {
    if (!quotas.hasLimits()) {
      return QuotaShares.NONE;
    }
    long nowMs = clock.getAsLong();
    QuotaShares shares = quotas.shares(ownRelay, nowMs);
    lender.setCredit(quotas.credit(), nowMs);
    logContact(nowMs < shares.validUntilMs(), shares.equalPart());
    return shares;
  }

  private void logContact(boolean isInContact, double equalPart) {
    if (inContact != isInContact) {
      inContact = isInContact;
      LOG.info("quota_contact_changed", "in_contact", isInContact, "equal_part", equalPart);
    }
  }
}
