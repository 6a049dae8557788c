package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The three instances of a zone are stopped and started in turn, again and again, while clients
 * send short requests. The clients' connections are forwarded by a balancer that asks each instance
 * once a second whether it is ready.
 */
final class DrainCase {

  private static final int ROUNDS = 7;
  private static final long GAP_MS = 1_000;
  private static final long ROUND_MS = 10_000;
  private static final long RESTART_MS = 300;
  private static final long SETTLE_MS = 6_000;
  private static final long GRACE_MS = 8_000;
  private static final int CLIENTS = 15;
  private static final double REQUESTS_PER_S = 33;
  private static final long DEADLINE_MS = 1_500;
  private static final long WORK_MS = 86;
  private static final double ORDER_SHARE = 0.71;

  private final Site site;
  private final boolean trouble;
  private final Map<String, Integer> misses = new ConcurrentHashMap<>();
  private final Map<String, Long> terminatedMs = new ConcurrentHashMap<>();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private DrainCase(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = args[1].equals("trouble");
    int result;
    try (Site site = new Site(Path.of(args[0]))) {
      site.record.add("mode %s", args[1]);
      result = new DrainCase(site, trouble).play();
      site.record.add("result %d", result);
    }
    System.exit(result);
  }

  private int play() throws Exception {
    site.addWorkers("portal", 3, 6, WORK_MS, List.of());
    site.store.put("op", "config", config());
    if (!site.startInstances(3)) {
      return 2;
    }
    Clock.sleep(SETTLE_MS);
    site.addWorkers("drafting", 6, 64, 21, List.of("model"));
    // The engines have owners, and the balancer has asked each instance, before traffic starts.
    Thread balancer = Thread.ofVirtual().start(this::askRegularly);
    Clock.sleep(12_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> sendRegularly(client)));
    }
    for (int round = 0; round < ROUNDS; round++) {
      long endMs = Clock.nowMs() + ROUND_MS;
      if (trouble) {
        restartInTurn();
      }
      Clock.sleepUntil(endMs);
    }
    ended.set(true);
    for (Thread client : clients) {
      client.join();
    }
    balancer.join();
    site.record.add("%d sent, %d answered, %d lost", sent.get(), answered.get(), lost.get());
    return answered.get() < sent.get() / 2 ? 2 : lost.get() > 0 ? 1 : 0;
  }

  private static ObjectNode config() {
    ObjectNode config = Site.config(10);
    Site.addRoute(config, "/stock/", "idempotent", "portal", DEADLINE_MS);
    Site.addRoute(config, "/order/", "non_idempotent", "portal", DEADLINE_MS);
    Site.addRoute(config, "/letter/", "stream", "drafting", 8_000);
    Site.addService(config, "portal");
    ObjectNode engine = Site.addService(config, "drafting").putObject("engine");
    engine.put("slots", 64).put("weightsMb", 75_000).put("adapterSlots", 17);
    engine
        .putArray("models")
        .addObject()
        .put("name", "model")
        .put("weightsMb", 72_700)
        .put("loadS", 5.7)
        .put("adapters", 3_000)
        .put("adapterMb", 66);
    return config;
  }

  private void restartInTurn() {
    for (Instance instance : site.instances) {
      Thread.ofVirtual().start(() -> restart(instance));
      Clock.sleep(GAP_MS);
    }
  }

  private void restart(Instance instance) {
    try {
      terminatedMs.put(instance.name(), Clock.nowMs());
      site.record.add("SIGTERM  to %s", instance.name());
      instance.terminate();
      instance.awaitEnd(GRACE_MS);
      site.record.add("end      of %s", instance.name());
      Clock.sleep(RESTART_MS);
      instance.start();
    } catch (IOException e) {
      site.record.add("no start of %s: %s", instance.name(), e);
    }
  }

  /** Asks each instance once a second; two misses in a row take it out of rotation. */
  private void askRegularly() {
    while (!ended.get()) {
      for (Instance instance : site.instances) {
        Thread.ofVirtual().start(() -> ask(instance));
      }
      Clock.sleep(1_000);
    }
  }

  private void ask(Instance instance) {
    boolean ready = instance.isReady();
    misses.compute(instance.name(), (name, before) -> ready ? 0 : before == null ? 1 : before + 1);
  }

  /** Returns the instances that get new connections: all when fewer than half are in rotation. */
  private List<Instance> receivers() {
    List<Instance> inRotation =
        site.instances.stream()
            .filter(instance -> misses.getOrDefault(instance.name(), 0) < 2)
            .toList();
    return 2 * inRotation.size() < site.instances.size() ? site.instances : inRotation;
  }

  private void sendRegularly(int client) {
    Random random = new Random(client);
    Caller caller = null;
    Instance instance = null;
    for (int i = 0; !ended.get(); i++) {
      Clock.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 * CLIENTS / REQUESTS_PER_S));
      String id = "c" + client + "-" + i;
      try {
        if (caller == null) {
          List<Instance> receivers = receivers();
          instance = receivers.get((client + i) % receivers.size());
          caller = new Caller(instance.host(), Instance.FRONT_PORT, 1_000);
        }
      } catch (IOException e) {
        continue;
      }
      send(caller, instance, id, random.nextDouble() < ORDER_SHARE);
      if (!caller.isReusable() || client % 2 == 0) {
        close(caller);
        caller = null;
      }
    }
    if (caller != null) {
      close(caller);
    }
  }

  private void send(Caller caller, Instance instance, String id, boolean order) {
    Map<String, String> headers =
        Map.of("Host", Site.HOST, "X-Request-Id", id, "X-Deadline-Ms", "" + DEADLINE_MS);
    long sentMs = Clock.nowMs();
    sent.incrementAndGet();
    site.record.add("sent     %s to %s", id, instance.name());
    try {
      Caller.Answer answer =
          caller.call(
              order ? "POST" : "GET",
              order ? "/order/1" : "/stock/1",
              headers,
              order ? new byte[600] : new byte[0],
              DEADLINE_MS);
      answered.incrementAndGet();
      site.record.add("answered %s with %d", id, answer.status());
    } catch (SocketTimeoutException e) {
      site.record.add("deadline of %s", id);
    } catch (IOException e) {
      recordEnd(instance, id, sentMs);
    }
  }

  /** Judges a request whose connection ended without an answer. */
  private void recordEnd(Instance instance, String id, long sentMs) {
    // Its worker may write of it a moment later.
    Clock.sleep(50);
    long sinceTermMs = sentMs - terminatedMs.getOrDefault(instance.name(), Long.MIN_VALUE / 2);
    boolean planned = sinceTermMs >= -DEADLINE_MS && sinceTermMs <= GRACE_MS + 1_000;
    Worker runner = site.runnerOf(id);
    boolean counts = planned && runner != null;
    if (counts) {
      lost.incrementAndGet();
    }
    site.record.add(
        "cut      %s at %s, %d ms after SIGTERM, run by %s: %s",
        id,
        instance.name(),
        sinceTermMs,
        runner == null ? "no worker" : runner.id(),
        counts ? "LOST" : "not counted");
  }

  private static void close(Caller caller) {
    try {
      caller.close();
    } catch (IOException e) {
      System.err.println(e);
    }
  }
}
