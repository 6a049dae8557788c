import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A worker that asked for a pause is cut off from the store until its entry has expired. */
final class Pause {
  private static final long PAUSE_S = 25;
  private static final long PAUSE_MS = PAUSE_S * 1_000;
  private static final long SLACK_MS = 500;
  private static final long CUT_MS = 5_000;
  private static final long EXPIRY_MS = 3 * Worker.HEARTBEAT_MS;
  private static final int MAX_REQUESTS = 2;
  private static final long SEND_PERIOD_MS = 50;

  private Pause() {}

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments[0], Pause::run);
  }

  private static int run(Rig rig) throws Exception {
    ObjectNode config = Rig.configuration(7);
    Rig.addRoute(config, "order", "non_idempotent", "member-portal", 600);
    rig.store.put("op", "config", config);
    for (int i = 0; i < 5; i++) {
      rig.addWorker("i-portal-" + i, "member-portal", false, Set.of(), Worker.sound(20));
    }
    for (int i = 1; i <= 3; i++) {
      rig.addNode("front-almaty-a-" + i, rig.store.address());
    }
    rig.awaitReady();
    try (Traffic traffic = new Traffic(rig, "POST", "/order/2f", 600, 2_000)) {
      return play(rig, traffic);
    }
  }

  private static int play(Rig rig, Traffic traffic) throws Exception {
    Worker busy = rig.workers.getFirst();
    Map<String, Long> refusedMs = new ConcurrentHashMap<>();
    Map<String, Integer> unwanted = new ConcurrentHashMap<>();
    busy.setBehavior(
        (worker, request, out) -> {
          String node = traffic.nodeOf(request.header("x-request-id")).name;
          long nowMs = RunRecord.nowMs();
          Long sinceMs = refusedMs.putIfAbsent(node, nowMs);
          if (sinceMs == null || nowMs - sinceMs <= SLACK_MS) {
            rig.record.add("refused", "at", worker.id, "from", node, "retry_after_s", PAUSE_S);
            String headers = "X-Not-Executed: 1\r\nRetry-After: " + PAUSE_S + "\r\n";
            Worker.write(
                out, 503, "Service Unavailable", worker.signed(request) + headers, "{}");
            return true;
          }
          if (nowMs - sinceMs < PAUSE_MS) {
            unwanted.merge(node, 1, Integer::sum);
          }
          return Worker.sound(20).answer(worker, request, out);
        });
    traffic.start(SEND_PERIOD_MS);
    Thread.sleep(4_000);
    rig.record.say("asked for a pause: " + new TreeMap<>(refusedMs).keySet());
    if (Rig.TROUBLE) {
      cutOff(rig, busy);
    } else {
      Thread.sleep(CUT_MS);
    }
    Thread.sleep(14_000);
    traffic.stop();
    rig.record.say("requests during the pause: " + new TreeMap<>(unwanted));
    boolean isBroken = unwanted.values().stream().anyMatch(count -> count > MAX_REQUESTS);
    return isBroken ? Rig.BROKEN : Rig.HELD;
  }

  /** Cuts a worker off from the store, which drops its entry after three heartbeat intervals. */
  private static void cutOff(Rig rig, Worker worker) throws InterruptedException {
    worker.setRegisters(false);
    rig.record.add("cut_off", "worker", worker.id);
    Thread.sleep(EXPIRY_MS);
    rig.store.remove("servers", worker.id);
    rig.record.add("entry_expired", "worker", worker.id);
    Thread.sleep(CUT_MS - EXPIRY_MS);
    worker.setRegisters(true);
    rig.record.add("healed", "worker", worker.id);
  }
}
