package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system on a loopback address of its own, started as the deploy file says. */
final class Instance implements AutoCloseable {

  static final int FRONT_PORT = 8149;
  static final int READY_PORT = 8141;
  private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"");

  private final String name;
  private final String host;
  private final String zone;
  private final String storeAddress;
  private final Path folder;
  private Process process;
  private int starts;

  Instance(String name, String host, String zone, String storeAddress, Path folder) {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.storeAddress = storeAddress;
    this.folder = folder;
  }

  String name() {
    return name;
  }

  String host() {
    return host;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  synchronized void start() throws IOException {
    Path settings = folder.resolve(name + ".yaml");
    Files.writeString(settings, settings());
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy", "system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command");
    }
    File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(List.of(run.group(1).split(" ")))
            .redirectErrorStream(true)
            .redirectOutput(log);
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("APRICOTSTAND_NODE_FILE", settings.toString());
    process = builder.start();
  }

  private String settings() {
    return String.join(
        "\n",
        "nodeName: \"" + name + "\"",
        "role: \"serve\"",
        "machineClass: \"front\"",
        "serves: [\"front\"]",
        "ip: \"" + host + "\"",
        "zone: \"" + zone + "\"",
        "region: \"region\"",
        "zones: {" + zone + ": \"region\"}",
        "listen:",
        "  front: \"" + host + ":" + FRONT_PORT + "\"",
        "  ready: \"" + host + ":" + READY_PORT + "\"",
        "portRange: [7380, 7395]",
        "bootstrap: false",
        "limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0}",
        "discovery: \"platform\"",
        "heartbeatMs: 1200",
        "bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lostMs: 200, configApplyMs: 2000,",
        "  rollbackSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10,",
        "  retrySlack: 54, recoverS: 12, leaseMs: 3000, thawMs: 300, version_ms: 5000}",
        "platform: {address: \"" + storeAddress + "\", form: \"table\"}",
        "");
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Waits for the end of the process, and kills it when the time is over. */
  void awaitEnd(long timeoutMs) {
    try {
      if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Asks the process whether it is ready; false also when it does not answer. */
  boolean isReady() {
    try (Caller caller = new Caller(host, READY_PORT, 900)) {
      return caller.call("GET", "/ready", Map.of("Host", "ready"), new byte[0], 900).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long timeoutMs) {
    long untilMs = Clock.nowMs() + timeoutMs;
    while (Clock.nowMs() < untilMs) {
      if (isReady()) {
        return true;
      }
      Clock.sleep(50);
    }
    return false;
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
