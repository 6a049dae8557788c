import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker leaves shortly after the open connections to the store have gone silent. */
final class Silent {
  private static final long CONTACT_MS = 3_000;
  private static final long DRAIN_MS = 2_000;

  /** Time for which the worker goes on serving when drainMs is over. */
  private static final long LINGER_MS = 1_600;

  /** More than a request takes from its client to a worker. */
  private static final long TRANSFER_MS = 100;

  private static final long WORK_MS = 20;
  private static final long SEND_PERIOD_MS = 20;
  private static final long SILENT_BEFORE_LEAVING_MS = 300;

  private Silent() {}

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments[0], Silent::run);
  }

  private static int run(Rig rig) throws Exception {
    ObjectNode config = Rig.configuration(7);
    Rig.addRoute(config, "order", "non_idempotent", "member-portal", 600);
    rig.store.put("op", "config", config);
    for (int i = 0; i < 3; i++) {
      rig.addWorker("i-portal-" + i, "member-portal", false, Set.of(), Worker.sound(WORK_MS));
    }
    List<SilentProxy> proxies = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      SilentProxy proxy = new SilentProxy(rig.nextIp(), rig.store.address());
      proxies.add(proxy);
      rig.addNode("front-almaty-a-" + i, proxy.address());
    }
    rig.awaitReady();
    try (Traffic traffic = new Traffic(rig, "POST", "/order/2f", 600, 2_000)) {
      return play(rig, proxies, traffic);
    } finally {
      for (SilentProxy proxy : proxies) {
        proxy.close();
      }
    }
  }

  private static int play(Rig rig, List<SilentProxy> proxies, Traffic traffic) throws Exception {
    Worker leaving = rig.workers.getFirst();
    Map<String, Long> arrivedMs = new ConcurrentHashMap<>();
    leaving.setBehavior(
        (worker, request, out) -> {
          arrivedMs.put(request.header("x-request-id"), RunRecord.nowMs());
          return Worker.sound(WORK_MS).answer(worker, request, out);
        });
    traffic.start(SEND_PERIOD_MS);
    Thread.sleep(5_000);
    long silentMs = RunRecord.nowMs();
    if (Rig.TROUBLE) {
      proxies.forEach(SilentProxy::silence);
      rig.record.add("connections_silent");
    }
    Thread.sleep(SILENT_BEFORE_LEAVING_MS);
    leaving.setRegisters(false);
    rig.store.remove("servers", leaving.id);
    long goneMs = RunRecord.nowMs();
    rig.record.add("entry_removed", "worker", leaving.id);
    Thread.sleep(DRAIN_MS + LINGER_MS);
    leaving.close();
    rig.record.add("exited", "worker", leaving.id);
    Thread.sleep(4_000);
    return judge(rig, traffic.stop(), arrivedMs, silentMs, goneMs);
  }

  private static int judge(
      Rig rig,
      List<Client.Outcome> outcomes,
      Map<String, Long> arrivedMs,
      long silentMs,
      long goneMs) {
    long inTouchMs = silentMs + CONTACT_MS + TRANSFER_MS;
    List<Client.Outcome> late =
        outcomes.stream()
            .filter(outcome -> outcome.sentMs() > inTouchMs)
            .filter(outcome -> arrivedMs.containsKey(outcome.id()))
            .filter(o -> arrivedMs.get(o.id()) > goneMs + DRAIN_MS + TRANSFER_MS)
            .toList();
    long lost = late.stream().filter(outcome -> outcome.status() != 200).count();
    rig.record.say(
        "orders that reached the worker later than drainMs after it was gone: %d, not answered"
                .formatted(late.size())
            + " with success: %d".formatted(lost));
    return late.isEmpty() ? Rig.HELD : Rig.BROKEN;
  }
}
