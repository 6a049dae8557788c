import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Node implements AutoCloseable {
  private static final int FRONT_PORT = 8_149;
  private static final int READY_PORT = 8_141;
  private static final int START_TIMEOUT_MS = 20_000;

  final String name;
  final String ip;
  private final Process process;

  Node(String name, String ip, InetSocketAddress store, Path folder) throws IOException {
    this.name = name;
    this.ip = ip;
    Path settings = folder.resolve(name + ".yaml");
    Files.writeString(settings, settings(name, ip, store));
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("APRICOTSTAND_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    process = builder.start();
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring("run = ".length()).replace("\"", "").split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no command");
  }

  private static String settings(String name, String ip, InetSocketAddress store) {
    return """
        nodeName: "%1$s"
        role: "serve"
        machineClass: "front"
        serves: ["front"]
        ip: "%2$s"
        zone: "almaty-a"
        region: "almaty"
        zones: {almaty-a: "almaty", almaty-b: "almaty", almaty-c: "almaty"}
        listen: {front: "%2$s:%3$d", ready: "%2$s:%4$d"}
        portRange: [7380, 7395]
        seeds: []
        bootstrap: true
        lossCounts: false
        limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
        dataDir: null
        discovery: "platform"
        entry: "virtual_ip"
        heartbeatMs: 1200
        contracts: [base, drain, config, cost, retry, recover, fleet, stream, engine, platform]
        faultTolerance: {machines: 2, zones: 1, regions: 0}
        bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4,
          drainMs: 2000, graceS: 8, lostMs: 200, configApplyMs: 2000, rollbackSlackMs: 250,
          maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 54,
          recoverS: 12, passMs: 120, againS: 0, fencingEnforced: false, leaseMs: 3000,
          thawMs: 300, ceilingWindowS: 5, ceilingOver: 1.1, version_ms: 5000}
        platform: {address: "%5$s:%6$d", form: "table", writesPerS: 400, readsPerS: 2000,
          txMs: 4.0, appendsPerS: 250, rowBytes: 65536, across: true, historyS: 20,
          blobBytes: 8388608, blobMs: 25.0, blobPerS: 80.0}
        """
        .formatted(
            name,
            ip,
            FRONT_PORT,
            READY_PORT,
            store.getAddress().getHostAddress(),
            store.getPort());
  }

  InetSocketAddress front() {
    return new InetSocketAddress(ip, FRONT_PORT);
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Asks as the platform does whether the process is ready; false without an answer in a second. */
  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, READY_PORT), 1_000);
      socket.setSoTimeout(1_000);
      String request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String first = Worker.line(socket.getInputStream());
      return first != null && first.contains(" 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws InterruptedException {
    long untilMs = RunRecord.nowMs() + START_TIMEOUT_MS;
    while (!isReady()) {
      if (RunRecord.nowMs() > untilMs || !isRunning()) {
        throw new IllegalStateException(name + " is not ready");
      }
      Thread.sleep(100);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
