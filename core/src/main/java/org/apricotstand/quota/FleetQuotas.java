package org.apricotstand.quota;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Determines this instance's share of the limit of each tenant from the demand that relays publish.
 * The shares of all instances add up to at most the limit, also while instances see different
 * states.
 *
 * <p>Each registered instance has an equal part of each limit. Instances in mutual contact form a
 * group, which divides the equal parts of its members by demand: a fixed part equally, the rest by
 * demand; as long as demand is lower than the limit, what remains is divided too. Instances outside
 * of the group keep their equal parts. Relays publish a hash of the relays that they hear, and only
 * relays that publish the same one are in the same group, so that no instance is in two groups.
 *
 * <p>A share shrinks at once and grows {@link #SETTLING_MS} later: for that time each instance
 * counts its own demand with its minimum, the demand of the others with its maximum and its share
 * with its minimum. By then the others have seen the demand for which the share grows.
 *
 * <pre>{@code
 * quotas.recordReport(sequence, demand, nowMs);
 * quotas.confirmReport(sequence, nowMs);
 * quotas.putRelay(relay, members, scope, demand, nowMs);
 * QuotaShares shares = quotas.shares(relay, nowMs);
 * }</pre>
 */
public final class FleetQuotas {

  /** Part of a group's limit that is divided equally however uneven the demand is. */
  static final double FIXED_FRACTION = 0.2;

  /** Part of the limit beyond the demand that is divided equally; the rest follows demand. */
  private static final double EQUAL_ROOM_FRACTION = 0.6;

  /** Time until all instances in contact have seen what one of them published. */
  static final long SETTLING_MS = 1_200;

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
  private final Map<String, Relay> relays = new HashMap<>();
  private final Deque<Report> sentReports = new ArrayDeque<>();
  private final Deque<Report> confirmedReports = new ArrayDeque<>();
  private final Map<String, Deque<Timed>> recentFractions = new HashMap<>();
  private final Deque<Timed> recentEqualParts = new ArrayDeque<>();
  private Map<String, QuotaLimit> limits = Map.of();
  private int instances;
  private long confirmedSentMs = Long.MIN_VALUE / 2;
  private long lastCallMs = Long.MIN_VALUE / 2;

  /** What a relay published last, and its recent demand. */
  private static final class Relay {
    private final Deque<Report> recent = new ArrayDeque<>();
    private Set<String> members = Set.of();
    private long scope;
    private long heardMs;
  }

  /** Demand that counts from a time on. */
  private record Report(long sequence, Map<String, Long> demand, long fromMs) {}

  private record Timed(double value, long fromMs) {}

  /** Creates the quotas of an instance that knows no other one. */
  public FleetQuotas(String self) {
    this.self = self;
  }

  /** Sets the limits of all tenants that have one. */
  public void setLimits(Map<String, QuotaLimit> newLimits) {
    limits = Map.copyOf(newLimits);
    recentFractions.keySet().retainAll(limits.keySet());
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
  public void recordReport(long sequence, Map<String, Long> demand, long nowMs) {
    checkPause(nowMs);
    sentReports.addLast(new Report(sequence, demand, nowMs));
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
              confirmedReports.addLast(new Report(sequence, report.demand, nowMs));
              trim(confirmedReports, nowMs);
            });
    sentReports.removeIf(report -> report.sequence <= sequence);
  }

  /**
   * Records what a relay published.
   *
   * @param members instances whose demand is included
   * @param scope hash of the relays that it hears; 0 if it does not tell
   * @param demand units a second, by tenant
   */
  public void putRelay(
      String name, Set<String> members, long scope, Map<String, Long> demand, long nowMs) {
    checkPause(nowMs);
    Relay relay = relays.computeIfAbsent(name, key -> new Relay());
    relay.members = members;
    relay.scope = scope;
    relay.heardMs = nowMs;
    relay.recent.addLast(new Report(0, demand, nowMs));
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
    relays.values().removeIf(relay -> nowMs - relay.heardMs > RELAY_TIMEOUT_MS + SETTLING_MS);
    if (instances == 0) {
      return QuotaShares.NONE;
    }
    double equalPart = minimum(recentEqualParts, 1.0 / instances, nowMs);
    List<Relay> group = group(ownRelay, nowMs);
    OptionalLong oldestMs = group.stream().mapToLong(relay -> relay.heardMs).min();
    Map<String, Double> fractions =
        group.isEmpty() ? Map.of() : fractionsIn(group, equalPart, nowMs);
    Map<String, Double> usable = settle(fractions, equalPart, nowMs);
    long validUntilMs =
        oldestMs.isEmpty()
            ? nowMs
            : Math.min(
                confirmedSentMs + REPORT_TIMEOUT_MS, oldestMs.getAsLong() + RELAY_TIMEOUT_MS);
    return new QuotaShares(equalPart, usable, validUntilMs);
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

  private Map<String, Double> fractionsIn(List<Relay> group, double equalPart, long nowMs) {
    Set<String> members = new HashSet<>();
    group.forEach(relay -> members.addAll(relay.members));
    Map<String, Double> totals = new HashMap<>();
    for (Relay relay : group) {
      maximum(relay.recent, nowMs)
          .forEach((tenant, demand) -> totals.merge(tenant, (double) demand, Double::sum));
    }
    int count = Math.min(instances, members.size());
    double groupPart = count * equalPart;
    Map<String, Double> fractions = new HashMap<>();
    totals.forEach(
        (tenant, total) -> {
          QuotaLimit limit = limits.get(tenant);
          if (limit != null && total > 0) {
            double own = Math.min(ownMinimum(tenant, nowMs), total);
            double rate = share(own, total, groupPart * limit.ratePerS(), count);
            fractions.put(tenant, rate / limit.ratePerS());
          }
        });
    return fractions;
  }

  /**
   * Returns the part of a limit for one of several instances. It falls with the total demand and
   * rises with the own one, and the parts of all instances add up to the limit.
   */
  private static double share(double own, double total, double limit, int count) {
    double divisible = (1 - FIXED_FRACTION) * limit;
    double fixed = FIXED_FRACTION * limit / count;
    if (total >= divisible) {
      return fixed + divisible * own / total;
    }
    double room = divisible - total;
    double equalRoom = EQUAL_ROOM_FRACTION * room / count;
    return fixed + own + equalRoom + (1 - EQUAL_ROOM_FRACTION) * room * own / total;
  }

  /** Returns the smallest own demand that the relay counted within the settling time. */
  private double ownMinimum(String tenant, long nowMs) {
    trim(confirmedReports, nowMs);
    return confirmedReports.stream()
        .mapToLong(report -> report.demand.getOrDefault(tenant, 0L))
        .min()
        .orElse(0);
  }

  /** Returns the largest demand of each tenant within the settling time. */
  private static Map<String, Long> maximum(Deque<Report> reports, long nowMs) {
    trim(reports, nowMs);
    Map<String, Long> largest = new HashMap<>();
    reports.forEach(
        report ->
            report.demand.forEach((tenant, demand) -> largest.merge(tenant, demand, Math::max)));
    return largest;
  }

  /** Returns the smallest fractions within the settling time. */
  private Map<String, Double> settle(Map<String, Double> fractions, double equalPart, long nowMs) {
    fractions
        .keySet()
        .forEach(
            tenant ->
                recentFractions.computeIfAbsent(
                    tenant, key -> new ArrayDeque<>(List.of(new Timed(equalPart, nowMs)))));
    Map<String, Double> usable = new HashMap<>();
    for (Iterator<Map.Entry<String, Deque<Timed>>> all = recentFractions.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<String, Deque<Timed>> entry = all.next();
      double current = fractions.getOrDefault(entry.getKey(), equalPart);
      double smallest = minimum(entry.getValue(), current, nowMs);
      boolean isSettled = !fractions.containsKey(entry.getKey()) && smallest >= equalPart;
      if (isSettled) {
        all.remove();
      } else {
        usable.put(entry.getKey(), smallest);
      }
    }
    return usable;
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
      recentFractions.clear();
      confirmedSentMs = Long.MIN_VALUE / 2;
    }
  }
}
