package org.apricotstand.it;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apricotstand.standin.fault.FaultProxy;
import org.apricotstand.standin.process.Await;

/**
 * Cluster of real processes on the loopback interface, with a fault proxy on every link. Closing it
 * kills every process that it started.
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

  /** Name of the process of the stand-in platform. */
  public static final String PLATFORM = "platform";

  private static final int LOWEST_PORT = 10_000;
  private static final int HIGHEST_PORT = 32_000;

  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Path folder = Files.createTempDirectory("apricotstand-it");
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Map<String, List<String>> commandLines = new LinkedHashMap<>();
  private final Map<Link, FaultProxy> proxies = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> directAddresses = new LinkedHashMap<>();
  private final List<String> targetDeclarations = new ArrayList<>();
  private final TestCaller caller = new TestCaller();
  private final Thread shutdownHook = new Thread(this::killAll, "kill-started-processes");
  private int appliedRevision;

  /** Creates a cluster without processes. */
  public ProcessCluster() throws IOException {
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /**
   * Starts the platform.
   *
   * @param options further options of {@code stand-in platform}
   */
  public void startPlatform(String... options) throws IOException {
    startStandIn(PLATFORM, Stream.concat(Stream.of("platform"), Stream.of(options)).toList());
  }

  /**
   * Starts an engine. The next {@link #apply} declares it as a target.
   *
   * @param slots number of adapter slots
   * @param maxBatch maximum number of requests in a batch
   * @param options further options of {@code stand-in engine}
   */
  public void startEngine(String name, String domain, int slots, int maxBatch, String... options)
      throws IOException {
    List<String> commandLine = new ArrayList<>(List.of("engine", "--name", name, "--platform"));
    commandLine.add(
        "http://"
            + hostAndPort(proxyAddress(new Link(name, PLATFORM), directAddresses.get(PLATFORM))));
    commandLine.addAll(List.of("--slots", "" + slots, "--max-batch", "" + maxBatch));
    commandLine.addAll(List.of(options));
    startStandIn(name, commandLine);
    boolean enforced = !commandLine.contains("--ignore-fencing");
    targetDeclarations.add(
        "  - {name: %s, kind: engine, serves: base, domain: %s, address: \"%s\", fencing: %s, slots: %d, maxBatch: %d}"
            .formatted(
                name,
                domain,
                hostAndPort(proxyAddress(Link.toTarget(name), directAddresses.get(name))),
                enforced ? "enforced" : "ignored",
                slots,
                maxBatch));
  }

  /**
   * Starts an instance of a plain service. The next {@link #apply} declares it as a target.
   *
   * @param serves name of the service in the declarations
   * @param options further options of {@code stand-in service}
   */
  public void startService(String name, String serves, String domain, String... options)
      throws IOException {
    startStandIn(name, Stream.concat(Stream.of("service"), Stream.of(options)).toList());
    targetDeclarations.add(
        "  - {name: %s, kind: service, serves: %s, domain: %s, address: \"%s\", fencing: ignored, slots: 0, maxBatch: 0}"
            .formatted(
                name,
                serves,
                domain,
                hostAndPort(proxyAddress(Link.toTarget(name), directAddresses.get(name)))));
  }

  private void startStandIn(String name, List<String> options) throws IOException {
    List<String> commandLine = new ArrayList<>(List.of("stand-in"));
    commandLine.addAll(options);
    ManagedProcess process = launch(name, commandLine);
    InetSocketAddress address = process.awaitReady();
    directAddresses.put(name, address);
    // After a restart the process listens on the same address.
    commandLine.addAll(List.of("--address", hostAndPort(address)));
  }

  /**
   * Starts entry instances that are peers of each other.
   *
   * @param domains failure domain of each instance, by name
   */
  public void startEntries(Map<String, String> domains) throws IOException {
    Map<String, String> sortedDomains = new TreeMap<>(domains);
    Map<String, InetSocketAddress> peerAddresses = new TreeMap<>();
    for (String name : sortedDomains.keySet()) {
      peerAddresses.put(name, findFreeAddress());
    }
    for (String name : sortedDomains.keySet()) {
      Path settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, entrySettings(name, sortedDomains, peerAddresses));
      launch(name, List.of("entry", "--settings", settings.toString()));
    }
    for (String name : sortedDomains.keySet()) {
      InetSocketAddress address = processes.get(name).awaitReady();
      directAddresses.put(name, address);
      proxyAddress(Link.callersTo(name), address);
    }
  }

  /**
   * Starts an entry instance without peers, with Java options and settings of its own.
   *
   * @param moreSettings lines that are added to its settings file
   */
  public void startEntry(String name, String domain, List<String> jvmOptions, String moreSettings)
      throws IOException {
    Map<String, String> domains = Map.of(name, domain);
    Path file = folder.resolve(name + ".yaml");
    Files.writeString(
        file, entrySettings(name, domains, Map.of(name, findFreeAddress())) + moreSettings);
    List<String> commandLine = List.of("entry", "--settings", file.toString());
    ManagedProcess process = ManagedProcess.start(name, jvmOptions, commandLine);
    processes.put(name, process);
    commandLines.put(name, commandLine);
    InetSocketAddress address = process.awaitReady();
    directAddresses.put(name, address);
    proxyAddress(Link.callersTo(name), address);
  }

  private String entrySettings(
      String name, Map<String, String> domains, Map<String, InetSocketAddress> peerAddresses) {
    StringBuilder text = new StringBuilder();
    text.append("instance: ").append(name).append('\n');
    text.append("domain: ").append(domains.get(name)).append('\n');
    text.append("callerAddress: \"127.0.0.1:0\"\n");
    text.append("peerAddress: \"").append(hostAndPort(peerAddresses.get(name))).append("\"\n");
    text.append("operatorAddress: \"127.0.0.1:0\"\n");
    String platform =
        hostAndPort(proxyAddress(Link.toPlatform(name), directAddresses.get(PLATFORM)));
    text.append("platformUrl: \"http://").append(platform).append("\"\n");
    text.append("peers:\n");
    domains.forEach(
        (peer, domain) -> {
          if (!peer.equals(name)) {
            String address =
                hostAndPort(proxyAddress(Link.peer(name, peer), peerAddresses.get(peer)));
            text.append(
                "  - {instance: %s, domain: %s, address: \"%s\"}%n"
                    .formatted(peer, domain, address));
          }
        });
    return text.toString();
  }

  /**
   * Applies declarations and waits until they are active at every running entry instance.
   *
   * @param declarations declarations without the section {@code targets}, which is added with all
   *     targets that were started
   */
  public void apply(String declarations) throws IOException {
    Path files = Files.createDirectories(folder.resolve("declarations-" + ++appliedRevision));
    String targetsSection = "targets:\n" + String.join("\n", targetDeclarations) + "\n";
    Files.writeString(files.resolve("declarations.yaml"), declarations + "\n" + targetsSection);
    List<String> commandLine =
        List.of(
            "apply",
            "--platform",
            "http://" + hostAndPort(directAddresses.get(PLATFORM)),
            "--files",
            "" + files);
    ManagedProcess apply = ManagedProcess.start("apply", commandLine);
    if (apply.awaitExit() != 0) {
      throw new AssertionError("apply failed:\n" + String.join("\n", apply.output()));
    }
    processes.forEach(
        (name, process) -> {
          if (commandLines.get(name).getFirst().equals("entry") && process.isAlive()) {
            awaitRevision(name, appliedRevision);
          }
        });
  }

  /** Waits until an entry instance has logged that a revision is active. */
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

  /** Waits until an entry instance answers requests for a model, which requires an engine owner. */
  public void awaitServing(String entry, String model) {
    Await.until(entry + " serves " + model, () -> complete(entry, model, false).status() == 200);
  }

  /**
   * Starts a process again that has ended, with the same arguments. Callers reach it at the same
   * address as before.
   */
  public void restart(String name) throws IOException {
    ManagedProcess process = launch(name, commandLines.get(name));
    InetSocketAddress address = process.awaitReady();
    directAddresses.put(name, address);
    FaultProxy callerProxy = proxies.get(Link.callersTo(name));
    if (callerProxy != null) {
      callerProxy.setUpstream(address);
    }
  }

  private ManagedProcess launch(String name, List<String> commandLine) throws IOException {
    ManagedProcess process = ManagedProcess.start(name, commandLine);
    processes.put(name, process);
    commandLines.put(name, commandLine);
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
      throw new IllegalArgumentException(
          "no proxy for the link " + link + " among " + proxies.keySet());
    }
    return proxy;
  }

  /** Returns the address of a process itself, which bypasses the proxies. */
  public InetSocketAddress directAddress(String name) {
    return directAddresses.get(name);
  }

  /** Returns the address of the proxy through which callers reach an entry instance. */
  public InetSocketAddress callerAddress(String entry) {
    return proxy(Link.callersTo(entry)).address();
  }

  /** Returns the client that sends the requests of the test. */
  public TestCaller caller() {
    return caller;
  }

  /** Sends a completion request to an entry instance and waits for the end of its answer. */
  public Answer complete(String entry, String model, boolean stream) {
    String body = "{\"model\":\"%s\",\"prompt\":\"Hello\",\"stream\":%s}".formatted(model, stream);
    return caller.post(callerAddress(entry), "/v1/completions", body, Map.of());
  }

  /** Returns the address of the proxy of a link, which is started if there is none yet. */
  private InetSocketAddress proxyAddress(Link link, InetSocketAddress upstream) {
    return proxies
        .computeIfAbsent(link, unused -> FaultProxy.start(eventLoopGroup, upstream))
        .address();
  }

  /**
   * Returns an address that nothing listens on. Its port is below the range from which the system
   * takes the ports of outgoing connections, since such a connection could take the port before the
   * process binds it.
   */
  private static InetSocketAddress findFreeAddress() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
      } catch (BindException e) {
        continue;
      }
    }
  }

  /** Returns the address in the form IP:PORT. */
  static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void killAll() {
    processes.values().forEach(ManagedProcess::kill);
  }

  @Override
  public void close() throws IOException {
    killAll();
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    proxies.values().forEach(FaultProxy::close);
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
