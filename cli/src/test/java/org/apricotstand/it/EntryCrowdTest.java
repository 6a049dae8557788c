package org.apricotstand.it;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.apricotstand.standin.fault.Direction;
import org.apricotstand.standin.fault.Fault;
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry instance that ends, hangs or grows over the memory of its machine when
 * callers send what is within the limits of one request, on many connections at once.
 */
final class EntryCrowdTest {

  private static final int MIB = 1024 * 1024;
  private static final int HEAP_MIB = 40;
  private static final int DIRECT_MIB = 16;
  private static final int CODE_CACHE_MIB = 16;

  /** Class metadata, thread stacks, shared classes and the collector's tables. */
  private static final int NATIVE_MIB = 64;

  /** Sizes of {@code bin/apricotstand entry}. Ends when it can't go on, so that this is seen. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xmx" + HEAP_MIB + "m",
          "-Xms6m",
          "-Xmn3m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:MaxDirectMemorySize=" + DIRECT_MIB + "m",
          "-XX:ReservedCodeCacheSize=" + CODE_CACHE_MIB + "m",
          "-XX:TieredStopAtLevel=1",
          "-XX:+ExitOnOutOfMemoryError");

  private static final long MAX_RESIDENT_KIB =
      (HEAP_MIB + DIRECT_MIB + CODE_CACHE_MIB + NATIVE_MIB) * 1024L;

  private static final int MAX_CONNECTIONS = 400;

  /** Listeners, the class path, connections to the platform and to targets that are kept. */
  private static final int OTHER_DESCRIPTORS = 100;

  /** A request held for a target needs a connection of its own to the target. */
  private static final int MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS + OTHER_DESCRIPTORS;

  private static final int MAX_BODY_BYTES = 4 * MIB;
  private static final int SHORT_LINES = 2_300;
  private static final int HELD_BYTES = 256 * 1024;
  private static final String ENTRY = "entry-1";

  /** Interval of reading the processor time, and the time it must be low for. */
  private static final long SAMPLE_MS = 200;

  private static final long SETTLED_MS = 2_000;

  /** An instance without requests takes less than this in one interval. */
  private static final long SETTLED_CPU_TICKS = 4;

  /** Position of the user time after the name in /proc/PID/stat; the system time follows. */
  private static final int USER_TIME_FIELD = 11;

  private static final String SETTINGS =
      "callerLimits: {maxConnections: " + MAX_CONNECTIONS + "}\n";
  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      adapters: [{name: letters, model: base, versions: [v1]}]
      services:
        - {name: stock, path: /stock, repeatable: true}
        - {name: held, path: /held, repeatable: true}
        - {name: echo, path: /echo, repeatable: true}
      policy: {stallWeight: 0.5, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 60000}
      """;

  private ProcessCluster cluster;
  private Crowd crowd;

  @BeforeEach
  void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform();
    cluster.startEngine("engine-1", "a", 2, 64, "--step-ms", "1");
    cluster.startService("stock-1", "stock", "a", "--identity", "x-order-id");
    cluster.startService("held-1", "held", "a", "--identity", "x-order-id");
    cluster.startService("echo-1", "echo", "a", "--identity", "/id");
    cluster.startEntry(ENTRY, "a", JVM_OPTIONS, SETTINGS);
    cluster.apply(DECLARATIONS);
    awaitOrdinaryRequest();
    crowd = new Crowd(cluster.directAddress(ENTRY));
  }

  @AfterEach
  void stopCluster() throws IOException {
    crowd.close();
    cluster.close();
  }

  /**
   * Header lines cost several times their bytes as objects, which the byte limit does not count.
   */
  @Test
  void withstandsManyShortAndOddHeaderLinesWithUnendedBodies() throws IOException {
    crowd.add(200, unended(lines("ab:c\r\n", SHORT_LINES)));
    crowd.add(20, unended(lines("x:\r\n", 3_900)));
    crowd.add(20, unended("x: a\r\n" + lines(" b\r\n", 3_900)));
    crowd.add(20, unended("x:" + " ".repeat(15_000) + "\r\n"));
    assertWithstood();
  }

  /** Bodies of legal size that lack their last byte are held until their time is over. */
  @Test
  void withstandsManyLargeBodiesThatStopBeforeTheirEnd() throws IOException {
    crowd.add(20, out -> sendBody(out, MAX_BODY_BYTES - 1, MAX_BODY_BYTES));
    crowd.add(20, out -> sendBody(out, MAX_BODY_BYTES - 1, 1_024));
    crowd.add(4, out -> sendBody(out, MAX_BODY_BYTES, 65_536));
    assertWithstood();
  }

  /** Each small chunk is a buffer of its own, which costs many times its bytes. */
  @Test
  void withstandsManyChunkedBodiesThatStopBeforeTheirEnd() throws IOException {
    byte[] largeChunk =
        ("10000\r\n" + "x".repeat(65_536) + "\r\n").getBytes(StandardCharsets.UTF_8);
    byte[] smallChunk = "1\r\nx\r\n".getBytes(StandardCharsets.UTF_8);
    byte[] smallChunks = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.UTF_8);
    byte[] end = "0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    crowd.add(20, out -> sendChunks(out, largeChunk, 63));
    crowd.add(40, out -> sendChunks(out, smallChunks, 10));
    crowd.add(100, out -> sendChunks(out, smallChunk, 1_000));
    crowd.add(
        4,
        out -> {
          sendChunks(out, largeChunk, 63);
          out.write(end);
        });
    assertWithstood();
  }

  /** Answers that nobody reads and requests that no target takes are held in the process. */
  @Test
  void withstandsSlowReadersAndRequestsHeldForSlowTarget() throws IOException {
    cluster.proxy(Link.toTarget("held-1")).setFault(Direction.TO_UPSTREAM, Fault.hold());
    String stream =
        "{\"model\":\"letters@v1\",\"prompt\":\"Hello\",\"stream\":true,\"max_tokens\":20000}";
    String echoed = "{\"id\":\"" + "x".repeat(HELD_BYTES) + "\"}";
    crowd.add(40, out -> out.write(post("/v1/completions", stream)));
    crowd.add(160, out -> out.write(post("/echo", echoed)));
    crowd.add(160, out -> out.write(post("/held", "x".repeat(HELD_BYTES))));
    assertWithstood();
  }

  /**
   * The lines of a head that never ends are held as objects before the head counts as a request.
   */
  @Test
  void withstandsIdleConnectionsAndHeadsThatNeverEnd() throws IOException {
    crowd.add(190, out -> {});
    byte[] head =
        ("POST /stock HTTP/1.1\r\n" + lines("ab:c\r\n", SHORT_LINES))
            .getBytes(StandardCharsets.UTF_8);
    crowd.add(200, out -> out.write(head));
    assertWithstood();
  }

  /** A tree of a body of small JSON values takes many times the bytes of the body. */
  @Test
  void withstandsBodiesOfManySmallJsonValues() throws IOException {
    String body = "{\"model\":\"none\",\"values\":[" + "{},".repeat(350_000) + "{}]}";
    crowd.add(2, out -> out.write(post("/v1/completions", body)));
    assertWithstood();
  }

  private void assertWithstood() throws IOException {
    crowd.awaitSent();
    awaitOrdinaryRequest();
    awaitSettled();
    assertWithinBounds();
    awaitOrdinaryRequest();
    assertWithinBounds();
  }

  /** Waits until the process has read what the crowd sent, as far as it reads it. */
  private void awaitSettled() {
    long[] last = {0, 0};
    Await.until(
        "settled",
        () -> {
          long cpuTicks = cpuTicks();
          if (cpuTicks - last[0] > SETTLED_CPU_TICKS) {
            last[1] = System.currentTimeMillis();
          }
          last[0] = cpuTicks;
          Await.pause(SAMPLE_MS);
          return System.currentTimeMillis() - last[1] > SETTLED_MS;
        });
  }

  /** Returns the processor time of the process in units of 10 ms, or 0 if it has ended. */
  private long cpuTicks() {
    try {
      String stat = Files.readString(processFolder().resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
    } catch (IOException e) {
      return 0;
    }
  }

  private Path processFolder() {
    return Path.of("/proc", Long.toString(cluster.process(ENTRY).pid()));
  }

  private void assertWithinBounds() throws IOException {
    ManagedProcess process = cluster.process(ENTRY);
    assertWithMessage("alive; last lines: %s", lastLines(process)).that(process.isAlive()).isTrue();
    long residentKib = peakResidentKib(processFolder());
    long descriptors;
    try (Stream<Path> open = Files.list(processFolder().resolve("fd"))) {
      descriptors = open.count();
    }
    System.out.println("resident_kib=" + residentKib + " descriptors=" + descriptors);
    assertWithMessage("peak of resident memory, KiB").that(residentKib).isAtMost(MAX_RESIDENT_KIB);
    assertWithMessage("open descriptors").that(descriptors).isAtMost(MAX_DESCRIPTORS);
  }

  private static long peakResidentKib(Path folder) throws IOException {
    return Files.readAllLines(folder.resolve("status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElseThrow();
  }

  private void awaitOrdinaryRequest() {
    ManagedProcess process = cluster.process(ENTRY);
    Await.until(
        "answer to an ordinary request",
        () -> {
          if (!process.isAlive()) {
            throw new AssertionError("ended; last lines: " + lastLines(process));
          }
          return cluster
                  .caller()
                  .post(
                      cluster.directAddress(ENTRY),
                      "/stock",
                      "{}",
                      Map.of("x-order-id", "ordinary"))
                  .status()
              == 200;
        });
  }

  private static List<String> lastLines(ManagedProcess process) {
    List<String> output = process.output();
    return output.subList(Math.max(0, output.size() - 20), output.size());
  }

  private static String lines(String line, int count) {
    return line.repeat(count);
  }

  /** Sends a request whose body of two bytes stops after the first. */
  private static Crowd.Sender unended(String headerLines) {
    byte[] bytes =
        ("POST /stock HTTP/1.1\r\ncontent-length: 2\r\n" + headerLines + "\r\nx")
            .getBytes(StandardCharsets.UTF_8);
    return out -> out.write(bytes);
  }

  private static byte[] post(String path, String body) {
    return ("POST "
            + path
            + " HTTP/1.1\r\nhost: a\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Sends the first bytes of a body of {@link #MAX_BODY_BYTES} in pieces of a size. */
  private static void sendBody(OutputStream out, int bytes, int pieceBytes) throws IOException {
    out.write(
        ("POST /stock HTTP/1.1\r\ncontent-length: " + MAX_BODY_BYTES + "\r\n\r\n")
            .getBytes(StandardCharsets.UTF_8));
    byte[] piece = new byte[pieceBytes];
    for (int sent = 0; sent < bytes; sent += pieceBytes) {
      out.write(piece, 0, Math.min(pieceBytes, bytes - sent));
    }
  }

  private static void sendChunks(OutputStream out, byte[] chunk, int count) throws IOException {
    out.write(
        "POST /stock HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.UTF_8));
    for (int i = 0; i < count; i++) {
      out.write(chunk);
    }
  }
}
