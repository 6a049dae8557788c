package review3;

import java.util.ArrayList;
import java.util.List;

/**
 * A worker joins; two seconds later the store is away for a moment and comes back from a copy that
 * is older than the lease of that worker. Checks the rule ONE for the orders to each worker.
 */
public final class StoreDrill {

  private static final long LEASE_MS = 3_000;
  private static final long WARM_UP_MS = 6_000;
  private static final long JOINED_MS = 2_000;
  private static final long AWAY_MS = 500;
  private static final long COPY_AGE_MS = 6_000;
  private static final long AFTER_MS = 20_000;
  private static final long REQUEST_MS = 25;
  private static final int MIN_ORDERS = 20;

  private StoreDrill() {}

  /** Arguments: the folder of the case, and whether there is a drill (1 or 0). */
  public static void main(String[] arguments) throws Exception {
    Play.run(arguments, StoreDrill::play);
  }

  private static int play(Play play) throws Exception {
    Record record = play.record();
    Store store = play.store();
    store.write("op", "config", Play.configuration(1, Play.letterRoute(), List.of()));
    List<Engine> engines = new ArrayList<>();
    for (String zone : List.of("a", "b")) {
      engines.add(play.closeLater(new Engine("w-" + zone, "almaty-" + zone, true, store, record)));
    }
    play.startNodes();
    play.await("two leases", () -> store.leases().size() == 2);
    record.add("leases %s", store.leases());
    Thread traffic = Thread.ofVirtual().start(() -> sendForever(new Caller(record), play.nodes()));
    store.takeCopies();
    Thread.sleep(WARM_UP_MS);

    engines.add(play.closeLater(new Engine("w-c", "almaty-c", false, store, record)));
    long joinedMs = record.nowMs();
    record.add("worker w-c joins");
    play.await("three leases", () -> store.leases().size() == 3);
    play.sleepUntil(joinedMs + JOINED_MS);
    record.add("leases %s", store.leases());
    if (play.hasTrouble()) {
      play.drill(AWAY_MS, COPY_AGE_MS);
      store.write("op", "config", Play.configuration(1, Play.letterRoute(), List.of()));
    }
    Thread.sleep(AFTER_MS);
    traffic.interrupt();
    record.add("leases %s", store.leases());
    record.add(
        "writes rejected by a condition: %d, by the rate: %d",
        store.rejectedWrites(), store.limitedWrites());
    play.recordLogs("engine_owned", "engine_not_owned", "leases_not");
    if (engines.stream().anyMatch(engine -> engine.orders().size() < MIN_ORDERS)) {
      return Play.NOT_RUN;
    }
    boolean holds = true;
    for (Engine engine : engines) {
      holds &= keepsOne(engine.orders(), record);
    }
    return holds ? Play.HELD : Play.BROKEN;
  }

  private static void sendForever(Caller caller, List<Node> nodes) {
    try {
      for (int i = 0; ; i++) {
        caller.send(nodes.get(i % nodes.size()).front());
        Thread.sleep(REQUEST_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks the orders that one worker got, in the order of their arrival. */
  private static boolean keepsOne(List<Engine.Order> orders, Record record) {
    boolean holds = true;
    for (int i = 1; i < orders.size(); i++) {
      Engine.Order before = orders.get(i - 1);
      Engine.Order order = orders.get(i);
      String fault = faultOf(before, order);
      if (fault != null) {
        holds = false;
        record.add(
            "ONE broken at %s: %s: %s@%d at %d ms, %s@%d at %d ms",
            order.worker(), fault, before.holder(), before.fencing(), before.atMs(),
            order.holder(), order.fencing(), order.atMs());
      }
    }
    return holds;
  }

  private static String faultOf(Engine.Order before, Engine.Order order) {
    boolean isOther = !order.holder().equals(before.holder());
    if (isOther && order.fencing() == before.fencing()) {
      return "two holders with one fencing token";
    }
    if (order.fencing() < before.fencing()) {
      return "a lower fencing token after a higher one";
    }
    return isOther && order.atMs() - before.atMs() < LEASE_MS
        ? "holders take turns within leaseMs"
        : null;
  }
}
