package org.apricotstand.quota;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Determines this instance's share of the limit of each tenant from the demand that relays publish.
 * The shares of all instances add up to at most the limit, also while instances see different
 * states.
 *
 * <p>Each registered instance has an equal part of each limit. Instances in mutual contact form a
 * group, which has the equal parts of its members. Of that, each member keeps what it has used in
 * the last window, and what nobody has used is divided: a part equally, the rest by demand.
 * Instances outside of the group keep their equal parts. Relays publish a hash of the relays that
 * they hear, and only relays that publish the same one are in the same group, so that no instance
 * is in two groups.
 *
 * <p>A share shrinks at once and grows {@link #SETTLING_MS} later: for that time each instance
 * counts its own use and demand with their minimum and those of the others with their maximum. By
 * then the others have seen the demand for which the share grows.
 *
 * <pre>{@code
 * quotas.recordReport(sequence, uses, nowMs);
 * quotas.confirmReport(sequence, nowMs);
 * quotas.putRelay(relay, members, scope, uses, nowMs);
 * QuotaShares shares = quotas.shares(relay, nowMs);
 * }</pre>
 */
public final class FleetQuotas {

  /** Part of what is unused that is divided equally; the rest is divided by demand. */
  private static final double EQUAL_FRACTION = 0.5;

  /** Part of what a failure domain gets of the unused that its relay keeps, to lend it. */
  private static final double LENT_FRACTION = 0.75;

  /**
   * Part of the credit that is divided equally between relays. It is larger than that of shares:
   * with a small limit there are few requests, from which demand is known badly.
   */
  private static final double CREDIT_EQUAL_FRACTION = 0.75;

  /** Demand from which a tenant counts as overloaded, as a multiple of its rate. */
  private static final double OVERLOAD_RATIO = 1.1;

  /** Time until all instances in contact have seen what one of them published. */
  static final long SETTLING_MS = 1_000;

  /** Age of the news from a relay from which it is out of contact. */
  static final long RELAY_TIMEOUT_MS = 1_500;

  /**
   * Age of the newest own report that the relay has confirmed, counted from its sending, from which
   * this instance is out of contact. A relay drops a silent member no sooner.
   */
  static final long REPORT_TIMEOUT_MS = 2_000;

  /** Gap between two calls after which all news may be older than its arrival here. */
  static final long PAUSE_MS = 700;

  private static final int MAX_UNCONFIRMED = 32;

  private final String self;
  private final QuotaBounds bounds;
  private final long startMs;
  private final Map<String, Relay> relays = new HashMap<>();
  private final Deque<Report> sentReports = new ArrayDeque<>();
  private final Deque<Report> confirmedReports = new ArrayDeque<>();
  private final Deque<Timed> recentEqualParts = new ArrayDeque<>();
  private Map<String, QuotaLimit> limits = Map.of();
  private QuotaShares lastShares = QuotaShares.NONE;
  private QuotaShares sharesBeforeChange = QuotaShares.NONE;
  private QuotaCredit credit = QuotaCredit.NONE;
  private QuotaCredit creditBeforeChange = QuotaCredit.NONE;
  private Set<String> groupNames = Set.of();
  private long changedMs;
  private int instances;
  private long confirmedSentMs = Long.MIN_VALUE / 2;
  private long lastCallMs = Long.MIN_VALUE / 2;

  /** What a relay published last, and its recent sums. */
  private static final class Relay {
    private final String name;
    private final Deque<Report> recent = new ArrayDeque<>();
    private Set<String> members = Set.of();
    private long scope;
    private long heardMs;

    private Relay(String name) {
      this.name = name;
    }
  }

  /** What counts from a time on. */
  private record Report(long sequence, Map<String, TenantUse> uses, long fromMs) {}

  private record Timed(double value, long fromMs) {}

  /**
   * Creates the quotas of an instance that knows no other one.
   *
   * @param startMs time of the start of the process
   */
  public FleetQuotas(String self, QuotaBounds bounds, long startMs) {
    this.self = self;
    this.bounds = bounds;
    this.startMs = startMs;
  }

  /** Sets the limits of all tenants that have one. */
  public void setLimits(Map<String, QuotaLimit> newLimits) {
    limits = Map.copyOf(newLimits);
  }

  /** Returns whether any tenant has a limit. */
  public boolean hasLimits() {
    return !limits.isEmpty();
  }

  /** Sets the number of registered instances with this one; 0 while it is not known. */
  public void setInstances(int newInstances) {
    checkArgument(newInstances >= 0, "instances must not be negative: %s", newInstances);
    instances = newInstances;
  }

  /** Records a report that is sent to the relay, or that this instance counts as its own relay. */
  public void recordReport(long sequence, Map<String, TenantUse> uses, long nowMs) {
    checkPause(nowMs);
    sentReports.addLast(new Report(sequence, uses, nowMs));
    if (sentReports.size() > MAX_UNCONFIRMED) {
      sentReports.removeFirst();
    }
  }

  /** Records that the sums of the relay include a report. */
  public void confirmReport(long sequence, long nowMs) {
    checkPause(nowMs);
    sentReports.stream()
        .filter(report -> report.sequence == sequence)
        .findFirst()
        .ifPresent(
            report -> {
              confirmedSentMs = report.fromMs;
              confirmedReports.addLast(new Report(sequence, report.uses, nowMs));
              trim(confirmedReports, nowMs);
            });
    sentReports.removeIf(report -> report.sequence <= sequence);
  }

  /**
   * Records what a relay published.
   *
   * @param members instances whose demand is included
   * @param scope hash of the relays that it hears; 0 if it does not tell
   * @param uses sums over these instances, by tenant
   */
  public void putRelay(
      String name, Set<String> members, long scope, Map<String, TenantUse> uses, long nowMs) {
    checkPause(nowMs);
    Relay relay = relays.computeIfAbsent(name, Relay::new);
    relay.members = members;
    relay.scope = scope;
    relay.heardMs = nowMs;
    relay.recent.addLast(new Report(0, uses, nowMs));
    trim(relay.recent, nowMs);
  }

  /** Returns the hash of the relays that this instance hears, for it to publish as a relay. */
  public long scope(long nowMs) {
    checkPause(nowMs);
    Set<String> heard = new TreeSet<>(Set.of(self));
    relays.forEach(
        (name, relay) -> {
          if (isHeard(relay, nowMs)) {
            heard.add(name);
          }
        });
    long hash = 1;
    for (String name : heard) {
      for (int i = 0; i < name.length(); i++) {
        hash = 31 * hash + name.charAt(i);
      }
      hash = 31 * hash + 1;
    }
    return hash;
  }

  private static boolean isHeard(Relay relay, long nowMs) {
    return nowMs - relay.heardMs < RELAY_TIMEOUT_MS;
  }

  /**
   * Returns the shares that hold now.
   *
   * @param ownRelay relay of this instance, which may be itself
   */
  public QuotaShares shares(String ownRelay, long nowMs) {
    checkPause(nowMs);
    relays.values().removeIf(relay -> nowMs - relay.heardMs > RELAY_TIMEOUT_MS + bounds.windowMs());
    if (instances == 0) {
      return QuotaShares.NONE;
    }
    double equalPart = minimum(recentEqualParts, 1.0 / instances, nowMs);
    List<Relay> group = group(ownRelay, nowMs);
    if (group.isEmpty()) {
      groupNames = Set.of();
      lastShares = lastShares.withoutContact(equalPart, nowMs);
      credit = QuotaCredit.NONE;
      return lastShares;
    }
    long oldestMs = group.stream().mapToLong(relay -> relay.heardMs).min().orElseThrow();
    long validUntilMs = Math.min(confirmedSentMs + REPORT_TIMEOUT_MS, oldestMs + RELAY_TIMEOUT_MS);
    Map<String, TenantUse> totals = sums(group, nowMs);
    Map<String, Unused> unused = unusedIn(group, totals, equalPart, nowMs);
    recordGroup(group, nowMs);
    double lentFraction = lentFraction(relays.get(ownRelay));
    lastShares =
        new QuotaShares(
            equalPart,
            (1 - lentFraction) * equalPart,
            limitAfterChange(fractions(unused, lentFraction, nowMs), nowMs),
            overloaded(totals),
            validUntilMs,
            validUntilMs + bounds.windowMs(),
            lentFraction > 0);
    credit =
        ownRelay.equals(self) && lentFraction > 0
            ? creditAfterChange(
                creditIn(group, unused, lentFraction, equalPart, validUntilMs, nowMs), nowMs)
            : QuotaCredit.NONE;
    return lastShares;
  }

  /** Returns what this instance may lend as a relay, as of the last call of {@link #shares}. */
  public QuotaCredit credit() {
    return credit;
  }

  /** Returns the part that a relay keeps to lend it; a relay of itself alone keeps nothing. */
  private static double lentFraction(Relay relay) {
    return relay.members.size() > 1 ? LENT_FRACTION : 0;
  }

  /** Returns the relays in mutual contact with the own one; empty if this instance is cut off. */
  private List<Relay> group(String ownRelay, long nowMs) {
    Relay own = relays.get(ownRelay);
    boolean inContact =
        own != null
            && isHeard(own, nowMs)
            && own.members.contains(self)
            && nowMs - confirmedSentMs < REPORT_TIMEOUT_MS;
    return inContact
        ? relays.values().stream()
            .filter(relay -> isHeard(relay, nowMs) && relay.scope == own.scope)
            .toList()
        : List.of();
  }

  private Map<String, Unused> unusedIn(
      List<Relay> group, Map<String, TenantUse> totals, double equalPart, long nowMs) {
    Set<String> members = new HashSet<>();
    group.forEach(relay -> members.addAll(relay.members));
    Map<String, Double> lostUses = lostUses(group, members, nowMs);
    int count = Math.min(instances, members.size());
    Map<String, Unused> all = new HashMap<>();
    totals.forEach(
        (tenant, total) -> {
          QuotaLimit limit = limits.get(tenant);
          if (limit != null) {
            double divided = bounds.divided(limit);
            double groupLimit =
                Math.min(count * equalPart * divided, divided - lostUses.getOrDefault(tenant, 0.0));
            all.put(tenant, new Unused(total, groupLimit, divided, count));
          }
        });
    return all;
  }

  private Map<String, Double> fractions(
      Map<String, Unused> unused, double lentFraction, long nowMs) {
    Map<String, Double> fractions = new HashMap<>();
    unused.forEach(
        (tenant, tenantUnused) ->
            fractions.put(tenant, tenantUnused.share(ownMinimum(tenant, nowMs), lentFraction)));
    return fractions;
  }

  private QuotaCredit creditIn(
      List<Relay> group,
      Map<String, Unused> unused,
      double lentFraction,
      double equalPart,
      long validUntilMs,
      long nowMs) {
    Relay own = relays.get(self);
    int memberships = group.stream().mapToInt(relay -> relay.members.size()).sum();
    Map<String, TenantUse> demand = minimum(own.recent, nowMs);
    Map<String, Double> fractions = new HashMap<>();
    unused.forEach(
        (tenant, tenantUnused) ->
            fractions.put(
                tenant,
                lentFraction
                    * tenantUnused.part(
                        demand.getOrDefault(tenant, TenantUse.NONE),
                        (double) own.members.size() / memberships,
                        CREDIT_EQUAL_FRACTION)));
    // In a change of relays, an instance can be a member of two of them.
    double members = own.members.size() * (double) Math.min(instances, memberships) / memberships;
    return new QuotaCredit(
        lentFraction * members * equalPart, fractions, lastShares.overloaded(), validUntilMs);
  }

  private Set<String> overloaded(Map<String, TenantUse> totals) {
    Set<String> tenants = new HashSet<>();
    totals.forEach(
        (tenant, total) -> {
          QuotaLimit limit = limits.get(tenant);
          if (limit != null && total.offered() > OVERLOAD_RATIO * bounds.ratePerWindow(limit)) {
            tenants.add(tenant);
          }
        });
    return tenants;
  }

  /** Returns what instances outside of the group had used when they were last heard of. */
  private Map<String, Double> lostUses(List<Relay> group, Set<String> members, long nowMs) {
    Map<String, Double> lost = new HashMap<>();
    for (Relay relay : relays.values()) {
      long missing = relay.members.stream().filter(name -> !members.contains(name)).count();
      if (missing > 0 && !group.contains(relay)) {
        double part = (double) missing / relay.members.size();
        maximum(relay.recent, nowMs)
            .forEach((tenant, use) -> lost.merge(tenant, part * use.used(), Double::sum));
      }
    }
    return lost;
  }

  private static Map<String, TenantUse> sums(List<Relay> group, long nowMs) {
    Map<String, TenantUse> totals = new HashMap<>();
    for (Relay relay : group) {
      maximum(relay.recent, nowMs)
          .forEach((tenant, use) -> totals.merge(tenant, use, TenantUse::plus));
    }
    return totals;
  }

  /**
   * What is left of a limit to divide. All parts of it fall with the totals and rise with the
   * figures of those that get them, and add up to the limit.
   *
   * @param total sums over all instances of the group
   * @param limit units of the group
   * @param divided units that are divided between all groups
   * @param count instances of the group
   */
  private record Unused(TenantUse total, double limit, double divided, int count) {

    /** Returns the fraction that one instance may use, with what it has used. */
    private double share(TenantUse own, double lentFraction) {
      if (total.used() >= limit) {
        return limit <= 0 ? 0 : own.used() * limit / total.used() / divided;
      }
      return own.used() / divided + (1 - lentFraction) * part(own, 1.0 / count, EQUAL_FRACTION);
    }

    /**
     * Returns the fraction of the limit that some instances get of what is unused.
     *
     * @param own their demand and use
     * @param equalPart their number divided by the instances of the group
     * @param equalFraction part that is divided equally; the rest is divided by demand
     */
    private double part(TenantUse own, double equalPart, double equalFraction) {
      if (total.used() >= limit) {
        return 0;
      }
      double demandPart =
          total.offered() == 0 ? equalPart : (double) own.offered() / total.offered();
      double weight = equalFraction * equalPart + (1 - equalFraction) * demandPart;
      return (limit - total.used()) * weight / divided;
    }
  }

  /** Returns the smallest own figures that the relay counted within the settling time. */
  private TenantUse ownMinimum(String tenant, long nowMs) {
    trim(confirmedReports, nowMs);
    return confirmedReports.stream()
        .map(report -> report.uses.getOrDefault(tenant, TenantUse.NONE))
        .reduce(TenantUse::min)
        .orElse(TenantUse.NONE);
  }

  /** Returns the smallest figures of each tenant within the settling time. */
  private static Map<String, TenantUse> minimum(Deque<Report> reports, long nowMs) {
    trim(reports, nowMs);
    Map<String, TenantUse> smallest = new HashMap<>(reports.getFirst().uses);
    reports.forEach(
        report ->
            smallest.replaceAll(
                (tenant, use) -> use.min(report.uses.getOrDefault(tenant, TenantUse.NONE))));
    return smallest;
  }

  /** Returns the largest figures of each tenant within the settling time. */
  private static Map<String, TenantUse> maximum(Deque<Report> reports, long nowMs) {
    trim(reports, nowMs);
    Map<String, TenantUse> largest = new HashMap<>();
    reports.forEach(
        report -> report.uses.forEach((tenant, use) -> largest.merge(tenant, use, TenantUse::max)));
    return largest;
  }

  private void recordGroup(List<Relay> group, long nowMs) {
    Set<String> names = group.stream().map(relay -> relay.name).collect(Collectors.toSet());
    if (!names.equals(groupNames)) {
      groupNames = names;
      changedMs = nowMs;
      sharesBeforeChange = lastShares;
      creditBeforeChange = credit;
    }
  }

  private boolean isSettling(long nowMs) {
    return nowMs - changedMs < SETTLING_MS;
  }

  /**
   * Returns the fractions, for a settling time after the group has changed no larger than before:
   * other instances may still use what they had in their group.
   */
  private Map<String, Double> limitAfterChange(Map<String, Double> fractions, long nowMs) {
    if (!isSettling(nowMs) || sharesBeforeChange.equalPart() == 0) {
      return fractions;
    }
    Map<String, Double> limited = new HashMap<>();
    fractions.forEach(
        (tenant, fraction) ->
            limited.put(
                tenant, Math.min(fraction, sharesBeforeChange.fraction(tenant, changedMs))));
    return limited;
  }

  /**
   * Returns the credit, for a settling time after the group has changed no larger than before. Not
   * in the first window after the start, in which groups change several times: {@link QuotaLender}
   * lends only a part of the credit then.
   */
  private QuotaCredit creditAfterChange(QuotaCredit newCredit, long nowMs) {
    if (!isSettling(nowMs) || nowMs - startMs < bounds.windowMs()) {
      return newCredit;
    }
    Map<String, Double> limited = new HashMap<>();
    newCredit
        .fractions()
        .forEach(
            (tenant, fraction) ->
                limited.put(
                    tenant, Math.min(fraction, creditBeforeChange.fraction(tenant, changedMs))));
    return new QuotaCredit(
        Math.min(newCredit.defaultPart(), creditBeforeChange.defaultPart()),
        limited,
        newCredit.overloaded(),
        newCredit.validUntilMs());
  }

  /** Adds a value and returns the smallest one within the settling time. */
  private static double minimum(Deque<Timed> values, double value, long nowMs) {
    // The smaller value stands for the larger ones before it, from their time on.
    long fromMs = nowMs;
    while (!values.isEmpty() && values.peekLast().value >= value) {
      fromMs = values.removeLast().fromMs;
    }
    values.addLast(new Timed(value, fromMs));
    return smallestSince(values, nowMs);
  }

  private static double smallestSince(Deque<Timed> values, long nowMs) {
    while (values.size() > 1 && secondFromMs(values) <= nowMs - SETTLING_MS) {
      values.removeFirst();
    }
    return values.peekFirst().value;
  }

  private static long secondFromMs(Deque<Timed> values) {
    Iterator<Timed> all = values.iterator();
    all.next();
    return all.next().fromMs;
  }

  /** Removes the reports that were replaced before the settling time. */
  private static void trim(Deque<Report> reports, long nowMs) {
    while (reports.size() > 1) {
      Iterator<Report> all = reports.iterator();
      all.next();
      if (all.next().fromMs > nowMs - SETTLING_MS) {
        return;
      }
      reports.removeFirst();
    }
  }

  /**
   * Forgets all news after a gap in which this instance did not run: what it reads next was sent
   * during the gap and seems newer than it is.
   */
  private void checkPause(long nowMs) {
    boolean wasPaused = nowMs - lastCallMs > PAUSE_MS;
    lastCallMs = nowMs;
    if (wasPaused) {
      relays.clear();
      sentReports.clear();
      confirmedReports.clear();
      groupNames = Set.of();
      lastShares = lastShares.withoutContact(lastShares.equalPart(), nowMs);
      credit = QuotaCredit.NONE;
      confirmedSentMs = Long.MIN_VALUE / 2;
    }
  }
}
