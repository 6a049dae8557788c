package org.apricotstand.it;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apricotstand.standin.fault.FaultProxy;

/**
 * Real processes on loopback with a fault proxy in front of every link. Closing it ends every
 * process that it started.
 *
 * <pre>{@code
 * try (ProcessCluster cluster = new ProcessCluster()) {
 *   cluster.startPlatform();
 *   cluster.startEngine("engine-1", "a", 2, 8);
 *   cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
 *   cluster.apply("models: [{name: base}]\nadapters: [...]\n");
 *   Answer answer = cluster.complete("entry-2", "letters@v1", true);
 *   cluster.proxy(Link.peer("entry-2", "entry-1")).partition();
 * }
 * }</pre>
 */
public final class ProcessCluster implements AutoCloseable {

  /** Name of the platform's process. */
  public static final String PLATFORM = "platform";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Path folder = Files.createTempDirectory("apricotstand-it");
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Map<String, List<String>> arguments = new LinkedHashMap<>();
  private final Map<Link, FaultProxy> proxies = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> direct = new LinkedHashMap<>();
  private final List<String> targets = new ArrayList<>();
  private final TestCaller caller = new TestCaller();
  private final Thread lastResort = new Thread(this::killAll, "kill-started-processes");
  private int applied;

  /** Creates a cluster without processes. */
  public ProcessCluster() throws IOException {
    Runtime.getRuntime().addShutdownHook(lastResort);
  }

  /** Starts the platform with further options of {@code stand-in platform}. */
  public void startPlatform(String... options) throws IOException {
    startStandIn(PLATFORM, Stream.concat(Stream.of("platform"), Stream.of(options)).toList());
  }

  /** Starts an engine with further options of {@code stand-in engine}. */
  public void startEngine(String name, String domain, int slots, int maxBatch, String... options)
      throws IOException {
    List<String> line = new ArrayList<>(List.of("engine", "--name", name, "--platform"));
    line.add("http://" + text(through(new Link(name, PLATFORM), direct.get(PLATFORM))));
    line.addAll(List.of("--slots", "" + slots, "--max-batch", "" + maxBatch));
    line.addAll(List.of(options));
    startStandIn(name, line);
    boolean enforced = !line.contains("--ignore-fencing");
    targets.add(
        "  - {name: %s, kind: engine, serves: base, domain: %s, address: \"%s\", fencing: %s, slots: %d, maxBatch: %d}"
            .formatted(
                name,
                domain,
                text(through(Link.toTarget(name), direct.get(name))),
                enforced ? "enforced" : "ignored",
                slots,
                maxBatch));
  }

  /** Starts an instance of a plain service with further options of {@code stand-in service}. */
  public void startService(String name, String serves, String domain, String... options)
      throws IOException {
    startStandIn(name, Stream.concat(Stream.of("service"), Stream.of(options)).toList());
    targets.add(
        "  - {name: %s, kind: service, serves: %s, domain: %s, address: \"%s\", fencing: ignored, slots: 0, maxBatch: 0}"
            .formatted(name, serves, domain, text(through(Link.toTarget(name), direct.get(name)))));
  }

  private void startStandIn(String name, List<String> options) throws IOException {
    List<String> line = new ArrayList<>(List.of("stand-in"));
    line.addAll(options);
    ManagedProcess process = launch(name, line);
    InetSocketAddress address = process.awaitReady();
    direct.put(name, address);
    // A restart listens on the same address, as a restarted target does.
    line.addAll(List.of("--address", text(address)));
  }

  /** Starts entry instances that know each other; the map gives the domain of each name. */
  public void startEntries(Map<String, String> domains) throws IOException {
    Map<String, String> sorted = new TreeMap<>(domains);
    Map<String, InetSocketAddress> peerAddresses = new TreeMap<>();
    for (String name : sorted.keySet()) {
      peerAddresses.put(name, reserve());
    }
    for (String name : sorted.keySet()) {
      Path settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, settings(name, sorted, peerAddresses));
      launch(name, List.of("entry", "--settings", settings.toString()));
    }
    for (String name : sorted.keySet()) {
      InetSocketAddress address = processes.get(name).awaitReady();
      direct.put(name, address);
      through(Link.callersTo(name), address);
    }
  }

  private String settings(
      String name, Map<String, String> domains, Map<String, InetSocketAddress> peerAddresses) {
    StringBuilder text = new StringBuilder();
    text.append("instance: ").append(name).append('\n');
    text.append("domain: ").append(domains.get(name)).append('\n');
    text.append("callerAddress: \"127.0.0.1:0\"\n");
    text.append("peerAddress: \"").append(text(peerAddresses.get(name))).append("\"\n");
    text.append("operatorAddress: \"127.0.0.1:0\"\n");
    String platform = text(through(Link.toPlatform(name), direct.get(PLATFORM)));
    text.append("platformUrl: \"http://").append(platform).append("\"\n");
    text.append("peers:\n");
    domains.forEach(
        (peer, domain) -> {
          if (!peer.equals(name)) {
            String address = text(through(Link.peer(name, peer), peerAddresses.get(peer)));
            text.append(
                "  - {instance: %s, domain: %s, address: \"%s\"}%n"
                    .formatted(peer, domain, address));
          }
        });
    return text.toString();
  }

  /**
   * Applies declarations that name everything but the targets, and waits until they are in force at
   * every running entry instance.
   */
  public void apply(String declarations) throws IOException {
    Path files = Files.createDirectories(folder.resolve("declarations-" + ++applied));
    String targetLines = "targets:\n" + String.join("\n", targets) + "\n";
    Files.writeString(files.resolve("declarations.yaml"), declarations + "\n" + targetLines);
    List<String> line =
        List.of(
            "apply", "--platform", "http://" + text(direct.get(PLATFORM)), "--files", "" + files);
    ManagedProcess apply = ManagedProcess.start("apply", line);
    if (apply.awaitExit() != 0) {
      throw new AssertionError("apply failed:\n" + String.join("\n", apply.output()));
    }
    processes.forEach(
        (name, process) -> {
          if (arguments.get(name).getFirst().equals("entry") && process.isAlive()) {
            awaitRevision(name, applied);
          }
        });
  }

  /** Waits until an entry instance logged that a revision is in force. */
  public void awaitRevision(String entry, int revision) {
    Await.until(
        "revision " + revision + " at " + entry,
        () ->
            process(entry).output().stream()
                .anyMatch(
                    line ->
                        line.contains("revision_in_force")
                            && line.matches(".*\\brevision=" + revision + "\\b.*")));
  }

  /** Waits until an entry instance answers requests for a model, which needs an owner. */
  public void awaitServing(String entry, String model) {
    Await.until(entry + " serves " + model, () -> complete(entry, model, false).status() == 200);
  }

  /** Starts a process again after its end, with the same addresses and arguments. */
  public void restart(String name) throws IOException {
    ManagedProcess process = launch(name, arguments.get(name));
    InetSocketAddress address = process.awaitReady();
    direct.put(name, address);
    FaultProxy callers = proxies.get(Link.callersTo(name));
    if (callers != null) {
      callers.setUpstream(address);
    }
  }

  private ManagedProcess launch(String name, List<String> line) throws IOException {
    ManagedProcess process = ManagedProcess.start(name, line);
    processes.put(name, process);
    arguments.put(name, line);
    return process;
  }

  /** Returns a started process. */
  public ManagedProcess process(String name) {
    return processes.get(name);
  }

  /** Returns the proxy of a link. */
  public FaultProxy proxy(Link link) {
    FaultProxy proxy = proxies.get(link);
    if (proxy == null) {
      throw new IllegalArgumentException("no such link: " + link + " among " + proxies.keySet());
    }
    return proxy;
  }

  /** Returns the address of a process behind the proxies, for reading its events. */
  public InetSocketAddress directAddress(String name) {
    return direct.get(name);
  }

  /** Returns the address that callers use for an entry instance, through its proxy. */
  public InetSocketAddress callerAddress(String entry) {
    return proxy(Link.callersTo(entry)).address();
  }

  /** Returns the caller that sends requests. */
  public TestCaller caller() {
    return caller;
  }

  /** Sends a completion request through an entry instance and waits for the end of its answer. */
  public Answer complete(String entry, String model, boolean stream) {
    String body = "{\"model\":\"%s\",\"prompt\":\"Hello\",\"stream\":%s}".formatted(model, stream);
    return caller.post(callerAddress(entry), "/v1/completions", body, Map.of());
  }

  private InetSocketAddress through(Link link, InetSocketAddress upstream) {
    return proxies.computeIfAbsent(link, unused -> FaultProxy.start(group, upstream)).address();
  }

  private static InetSocketAddress reserve() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  /** Returns IP:PORT. */
  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void killAll() {
    processes.values().forEach(ManagedProcess::kill);
  }

  @Override
  public void close() throws IOException {
    killAll();
    Runtime.getRuntime().removeShutdownHook(lastResort);
    proxies.values().forEach(FaultProxy::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
