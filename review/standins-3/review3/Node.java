package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One process of the system, started with the command of the deploy file. */
final class Node implements AutoCloseable {

  private static final int FRONT_PORT = 8_149;
  private static final int READY_PORT = 8_141;

  private final String name;
  private final String ip;
  private final Path settings;
  private final Path log;
  private Process process;

  Node(String name, String zone, String ip, InetSocketAddress store, Path folder)
      throws IOException {
    this.name = name;
    this.ip = ip;
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log");
    String text =
        """
        nodeName: "%s"
        role: "serve"
        machineClass: "front"
        serves: ["front"]
        ip: "%s"
        zone: "%s"
        region: "almaty"
        zones: {almaty-a: "almaty", almaty-b: "almaty", almaty-c: "almaty"}
        listen: {front: "%s:%d", ready: "%s:%d"}
        portRange: [7380, 7395]
        bootstrap: true
        limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
        heartbeatMs: 1200
        bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lostMs: 200, configApplyMs: 2000,
          retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 54, fencingEnforced: false,
          leaseMs: 3000, thawMs: 300, version_ms: 5000}
        platform: {address: "%s:%d", form: "table", writesPerS: 400, readsPerS: 2000, txMs: 4.0,
          appendsPerS: 250, rowBytes: 65536, across: true, historyS: 20}
        """
            .formatted(
                name, ip, zone, ip, FRONT_PORT, ip, READY_PORT, store.getAddress().getHostAddress(),
                store.getPort());
    Files.writeString(settings, text);
  }

  /** Returns the words of {@code run} in the deploy file. */
  private static List<String> command() throws IOException {
    String line =
        Files.readAllLines(Path.of("deploy", "system.toml")).stream()
            .filter(text -> text.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("APRICOTSTAND_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    // The process ends with this one, however that ends.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  String name() {
    return name;
  }

  long pid() {
    return process.pid();
  }

  InetSocketAddress front() {
    return new InetSocketAddress(ip, FRONT_PORT);
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, READY_PORT), 500);
      socket.setSoTimeout(1_000);
      String call = "GET /ready HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
      byte[] head = socket.getInputStream().readNBytes(12);
      return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the lines of the log that contain one of the words. */
  List<String> logLines(String... words) throws IOException {
    return Files.readAllLines(log).stream()
        .filter(line -> List.of(words).stream().anyMatch(line::contains))
        .toList();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
