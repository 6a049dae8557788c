package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.overlay.Overlay;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.quota.TenantUse;

/**
 * The newest report of each instance for which this one relays, and their sums. Reports of silent
 * instances are dropped, but what they had used of limits of tenants counts until it has left the
 * window. Not thread-safe; used on the control thread only.
 */
final class MemberReports {

  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Integer> arrivals = new HashMap<>();
  private final Map<String, AnswerTimes> answerTimes = new HashMap<>();
  private final List<LostUse> lostUses = new ArrayList<>();
  private final long quotaWindowMs;

  private record Member(PeerMessage.MemberReport report, long silentFromMs) {}

  /** What a process reported last that was replaced or turned silent. */
  private record LostUse(
      String instance, boolean isReplaced, Map<String, TenantUse> tenants, long untilMs) {}

  /**
   * Creates reports without members.
   *
   * @param quotaWindowMs time for which the use of a lost process counts
   */
  MemberReports(long quotaWindowMs) {
    this.quotaWindowMs = quotaWindowMs;
  }

  /**
   * Replaces the report of an instance; its arrivals and answers are added to those not yet taken.
   *
   * @return whether the report is the first one of a new process of the instance
   */
  boolean put(String instance, PeerMessage.MemberReport report, long nowMs) {
    lostUses.removeIf(lost -> !lost.isReplaced && lost.instance.equals(instance));
    Member before = members.put(instance, new Member(report, nowMs + Overlay.SILENCE_TIMEOUT_MS));
    report.arrivals().forEach((adapter, count) -> arrivals.merge(adapter, count, Integer::sum));
    report.times().forEach((id, times) -> answerTimes.merge(id, times, AnswerTimes::plus));
    boolean isReplaced = before != null && report.sequence() < before.report.sequence();
    if (isReplaced) {
      keepUse(instance, true, before, nowMs);
    }
    return isReplaced;
  }

  private void keepUse(String instance, boolean isReplaced, Member member, long nowMs) {
    Map<String, TenantUse> used = new TreeMap<>();
    member
        .report
        .tenants()
        .forEach((tenant, use) -> used.put(tenant, new TenantUse(0, use.used())));
    if (!used.isEmpty()) {
      lostUses.add(new LostUse(instance, isReplaced, used, nowMs + quotaWindowMs));
    }
  }

  /** Forgets the use of instances that report to another relay. */
  void removeMoved(Collection<String> instances) {
    lostUses.removeIf(lost -> !lost.isReplaced && instances.contains(lost.instance));
  }

  void remove(String instance) {
    members.remove(instance);
  }

  /** Drops the reports of instances that turned silent, and returns their names. */
  List<String> removeSilent(long nowMs) {
    lostUses.removeIf(lost -> nowMs >= lost.untilMs);
    List<String> silent =
        members.entrySet().stream()
            .filter(entry -> nowMs >= entry.getValue().silentFromMs)
            .map(Map.Entry::getKey)
            .toList();
    silent.forEach(instance -> keepUse(instance, false, members.remove(instance), nowMs));
    return silent;
  }

  /** Gives all members a longer time, because this instance was delayed itself. */
  void extend(long delayMs) {
    members.replaceAll((name, member) -> new Member(member.report, member.silentFromMs + delayMs));
  }

  boolean isEmpty() {
    return members.isEmpty();
  }

  /** Returns the names of the members, sorted. */
  List<String> instances() {
    return List.copyOf(members.keySet());
  }

  /** Returns the number of the newest report of each member. */
  Map<String, Long> sequences() {
    Map<String, Long> sequences = new HashMap<>();
    members.forEach((name, member) -> sequences.put(name, member.report.sequence()));
    return sequences;
  }

  /** Returns the sum of one kind of count over all members, by target id. */
  Map<String, Integer> sum(Function<PeerMessage.MemberReport, Map<String, Integer>> counts) {
    Map<String, Integer> sums = new TreeMap<>();
    members
        .values()
        .forEach(
            member ->
                counts
                    .apply(member.report)
                    .forEach((id, count) -> sums.merge(id, count, Integer::sum)));
    sums.values().removeIf(count -> count == 0);
    return sums;
  }

  /** Returns the demand and the use of all members and lost processes, by tenant. */
  Map<String, TenantUse> tenants() {
    Map<String, TenantUse> sums = new TreeMap<>();
    lostUses.forEach(
        lost -> lost.tenants.forEach((tenant, use) -> sums.merge(tenant, use, TenantUse::plus)));
    members
        .values()
        .forEach(
            member ->
                member
                    .report
                    .tenants()
                    .forEach((tenant, use) -> sums.merge(tenant, use, TenantUse::plus)));
    return sums;
  }

  /** Returns the adapters that requests of any member use, by engine id. */
  Map<String, Set<String>> adaptersInUse() {
    Map<String, Set<String>> inUse = new TreeMap<>();
    members.values().stream()
        .map(member -> member.report.inUse())
        .map(Map::entrySet)
        .flatMap(Collection::stream)
        .forEach(
            entry ->
                inUse
                    .computeIfAbsent(entry.getKey(), engine -> new TreeSet<>())
                    .addAll(entry.getValue()));
    return inUse;
  }

  /** Removes and returns the arrivals that were reported since the last call, by adapter. */
  Map<String, Integer> takeArrivals() {
    Map<String, Integer> taken = new TreeMap<>(arrivals);
    arrivals.clear();
    return taken;
  }

  /** Removes and returns the times of answers that were reported since the last call, by target. */
  Map<String, AnswerTimes> takeAnswerTimes() {
    Map<String, AnswerTimes> taken = new TreeMap<>(answerTimes);
    answerTimes.clear();
    return taken;
  }

  /** Returns the sets as lists, as messages carry them. */
  static Map<String, List<String>> toLists(Map<String, Set<String>> sets) {
    Map<String, List<String>> lists = new TreeMap<>();
    sets.forEach((key, values) -> lists.put(key, new ArrayList<>(values)));
    return lists;
  }
}
