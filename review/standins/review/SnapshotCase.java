package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An instance is restarted while the store is slow. The store holds the declared versions of many
 * adapters, so the restarted instance reads the operator's table in several pages. Meanwhile the
 * operator moves a route to another service.
 */
final class SnapshotCase {

  private static final int ADAPTERS = 3_000;
  private static final long NORMAL_ANSWER_MS = 4;
  private static final long SLOW_ANSWER_MS = 200;
  private static final long SLOW_FOR_MS = 4_500;

  /** Time from the first page that the restarted instance reads until the operator's change. */
  private static final long CHANGE_AFTER_MS = 700;

  private static final long GRACE_MS = 8_000;
  private static final long CONTACT_MS = 3_000;
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long MAX_STRETCH_MS = 5_000;
  private static final int CHECKS = 40;
  private static final long CHECK_PERIOD_MS = 250;

  private SnapshotCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = args[1].equals("trouble");
    int result;
    try (Site site = new Site(Path.of(args[0]))) {
      site.record.add("mode %s", args[1]);
      result = play(site, trouble);
      site.record.add("result %d", result);
    }
    System.exit(result);
  }

  private static int play(Site site, boolean trouble) throws IOException {
    site.addWorkers("old", 2, 6, 21, List.of());
    site.addWorkers("new", 2, 6, 21, List.of());
    declareVersions(site.store);
    site.store.put("op", "config", config(10, "old"));
    if (!site.startInstances(2)) {
      return 2;
    }
    for (Instance instance : site.instances) {
      if (!"old".equals(serviceOf(site, instance, "before-" + instance.name()))) {
        return 2;
      }
    }

    long disruptionEndMs = trouble ? restartWhileStoreIsSlow(site) : changeRoute(site);
    if (disruptionEndMs < 0) {
      return 2;
    }
    Clock.sleepUntil(disruptionEndMs + CONTACT_MS + CONFIG_APPLY_MS + MAX_STRETCH_MS);
    return check(site);
  }

  /** Returns the time at which the store is fast again; negative if the case could not run. */
  private static long restartWhileStoreIsSlow(Site site) throws IOException {
    Instance restarted = site.instances.getFirst();
    site.record.add("SIGTERM to %s", restarted.name());
    restarted.terminate();
    restarted.awaitEnd(GRACE_MS);
    AtomicLong changedMs = new AtomicLong();
    site.store.setSnapshotListener(
        table -> {
          if (table.equals("op") && changedMs.compareAndSet(0, -1)) {
            site.record.add("%s has read the first page of op", restarted.name());
            Clock.sleep(CHANGE_AFTER_MS);
            changedMs.set(changeRoute(site));
          }
        });
    site.store.setAnswerMs(SLOW_ANSWER_MS);
    site.record.add("start of %s, the store answers in %d ms", restarted.name(), SLOW_ANSWER_MS);
    long slowUntilMs = Clock.nowMs() + SLOW_FOR_MS;
    restarted.start();
    Clock.sleepUntil(slowUntilMs);
    site.store.setAnswerMs(NORMAL_ANSWER_MS);
    site.record.add("the store answers in %d ms", NORMAL_ANSWER_MS);
    return changedMs.get() > 0 && restarted.awaitReady(10_000) ? slowUntilMs : -1;
  }

  private static long changeRoute(Site site) {
    site.store.put("op", "config", config(17, "new"));
    site.record.add("version 17 acknowledged: the route leads to service new");
    return Clock.nowMs();
  }

  /** Returns 1 if the old configuration still applies, although its bound and all stretch ended. */
  private static int check(Site site) throws IOException {
    int stale = 0;
    for (int i = 0; i < CHECKS; i++) {
      for (Instance instance : site.instances) {
        if (!"new".equals(serviceOf(site, instance, "after-" + i + "-" + instance.name()))) {
          stale++;
        }
      }
      Clock.sleep(CHECK_PERIOD_MS);
    }
    site.record.add(
        "%d of %d requests were not handled by version 17", stale, CHECKS * site.instances.size());
    return stale > 0 ? 1 : 0;
  }

  private static void declareVersions(Store store) {
    for (int i = 1; i <= ADAPTERS; i++) {
      ObjectNode row = Store.JSON.createObjectNode();
      row.put("model", "model").put("adapter", "a" + i).put("version", 2);
      store.put("op", "version/model.a" + i, row);
    }
  }

  private static ObjectNode config(long version, String service) {
    ObjectNode config = Site.config(version);
    Site.addRoute(config, "/stock/", "idempotent", service, 600);
    Site.addService(config, "old");
    Site.addService(config, "new");
    return config;
  }

  /** Sends a request to an instance and returns the service that ran it; empty if none did. */
  private static String serviceOf(Site site, Instance instance, String id) throws IOException {
    Map<String, String> headers =
        Map.of("Host", Site.HOST, "X-Request-Id", id, "X-Deadline-Ms", "600");
    site.record.add("sent     %s to %s", id, instance.name());
    try (Caller caller = new Caller(instance.host(), Instance.FRONT_PORT, 1_000)) {
      Caller.Answer answer = caller.call("GET", "/stock/7", headers, new byte[0], 1_000);
      site.record.add("answered %s with %d", id, answer.status());
    }
    Worker runner = site.runnerOf(id);
    return runner == null ? "" : runner.service();
  }
}
