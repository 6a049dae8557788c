import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker: runs requests, registers itself in the store and, if it is a model worker, holds one
 * model and its adapters. What differs from a sound worker is set by the case.
 */
final class Worker implements AutoCloseable {
  static final int HEARTBEAT_MS = 1_200;
  private static final long ADAPTER_LOAD_MS = 250;

  /** Answers a request; returns whether the connection is kept. */
  interface Behavior {
    boolean answer(Worker worker, Request request, OutputStream out)
        throws IOException, InterruptedException;
  }

  /** A request as it arrived; names of headers are in lower case. */
  record Request(String method, String path, Map<String, String> headers, byte[] body, String from) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  final String id;
  final String service;
  private final Store store;
  private final RunRecord record;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final boolean isEngine;
  private final Set<String> adapters = new TreeSet<>();
  private final Map<String, Long> loadingUntilMs = new TreeMap<>();
  private long sequence;
  private volatile Behavior behavior;
  private volatile boolean registers = true;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  Worker(
      String id,
      String ip,
      String service,
      boolean isEngine,
      Set<String> adapters,
      Store store,
      RunRecord record,
      Behavior behavior)
      throws IOException {
    this.id = id;
    this.service = service;
    this.isEngine = isEngine;
    this.adapters.addAll(adapters);
    this.store = store;
    this.record = record;
    this.behavior = behavior;
    this.listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 256);
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::register);
  }

  void setBehavior(Behavior newBehavior) {
    behavior = newBehavior;
  }

  /** Stops or resumes the writes of this worker to the store. */
  void setRegisters(boolean newRegisters) {
    registers = newRegisters;
  }

  private void register() {
    long beat = 0;
    try {
      while (!closed) {
        if (registers) {
          store.put("servers", id, describe(beat++));
        }
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized ObjectNode describe(long beat) {
    ObjectNode node = Store.JSON.createObjectNode();
    node.put("service", service)
        .put("address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort())
        .put("zone", "almaty-a")
        .put("version", "v1")
        .put("slots", isEngine ? 64 : 6)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("born", born);
    if (isEngine) {
      node.put("stage", "prefill_decode").set("models", models());
    }
    return node.put("sequence", isEngine ? sequence : beat);
  }

  private ArrayNode models() {
    ArrayNode models = Store.JSON.createArrayNode();
    ArrayNode names = models.addObject().put("name", "m0").put("version", 1).putArray("adapters");
    adapters.forEach(names::add);
    return models;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    sockets.add(socket);
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
      boolean kept = true;
      while (kept && !closed) {
        Request request = read(in, socket);
        if (request == null) {
          return;
        }
        kept = answer(request, out);
        out.flush();
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private boolean answer(Request request, OutputStream out)
      throws IOException, InterruptedException {
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(out, 421, "Misdirected Request", "X-Instance-Id: " + id + "\r\n", "{}");
      return true;
    }
    if (isEngine && request.path.equals("/report")) {
      write(out, 200, "OK", "Content-Type: application/json\r\n", report().toString());
      return true;
    }
    if (isEngine && request.path.equals("/order")) {
      write(out, order(Store.JSON.readTree(request.body)), "Order", "", "{}");
      return true;
    }
    return behavior.answer(this, request, out);
  }

  private synchronized ObjectNode report() {
    settle();
    ObjectNode node = Store.JSON.createObjectNode().put("stage", "prefill_decode");
    node.set("models", models());
    ArrayNode coming = node.putArray("coming");
    loadingUntilMs.keySet().forEach(name -> coming.add("m0/" + name + "@1"));
    return node.put("busy", false).put("sequence", sequence);
  }

  private synchronized int order(JsonNode order) {
    settle();
    String adapter = order.path("adapter").asText("");
    if (order.path("operation").asText().equals("load")) {
      if (adapter.isEmpty() || adapters.contains(adapter)) {
        return 200;
      }
      if (loadingUntilMs.containsKey(adapter)) {
        return 202;
      }
    }
    if (order.has("expected") && order.path("expected").asLong() != sequence) {
      return 409;
    }
    sequence++;
    if (order.path("operation").asText().equals("load")) {
      loadingUntilMs.put(adapter, RunRecord.nowMs() + ADAPTER_LOAD_MS);
      return 202;
    }
    adapters.remove(adapter);
    return 200;
  }

  private void settle() {
    loadingUntilMs
        .entrySet()
        .removeIf(
            entry -> {
              boolean isDone = RunRecord.nowMs() >= entry.getValue();
              if (isDone) {
                adapters.add(entry.getKey());
              }
              return isDone;
            });
  }

  private static Request read(InputStream in, Socket socket) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    String[] words = first.split(" ");
    String from = socket.getInetAddress().getHostAddress();
    return new Request(words[0], words[1], headers, body, from);
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  /** Records that the request is run here. */
  void recordRun(Request request) {
    record.add("run", "id", request.header("x-request-id"), "at", id, "path", request.path);
  }

  /** Runs a request for some time and answers it with success. */
  static Behavior sound(long workMs) {
    return (worker, request, out) -> {
      worker.recordRun(request);
      Thread.sleep(workMs);
      write(out, 200, "OK", worker.signed(request), "done by " + worker.id);
      return true;
    };
  }

  /** Answers with a stream of whole events that ends as it should. */
  static Behavior soundStream(int events, long gapMs) {
    return soundStream(0, events, gapMs);
  }

  /**
   * Answers with a stream of whole events that ends as it should.
   *
   * @param prefillMs time until the answer begins
   */
  static Behavior soundStream(long prefillMs, int events, long gapMs) {
    return (worker, request, out) -> {
      worker.recordRun(request);
      Thread.sleep(prefillMs);
      String head =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
      out.write((head + worker.signed(request) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      String last = request.header("last-event-id");
      for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
        Thread.sleep(gapMs);
        writeChunk(out, "id: " + i + "\ndata: three more tokens of text\n\n");
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return true;
    };
  }

  String signed(Request request) {
    return "X-Request-Id: " + request.header("x-request-id") + "\r\nX-Server-Seal: s." + id + "\r\n";
  }

  static void writeChunk(OutputStream out, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    out.write(chunk.getBytes(StandardCharsets.US_ASCII));
  }

  static void write(OutputStream out, int status, String reason, String headers, String body)
      throws IOException {
    String head = "HTTP/1.1 " + status + " " + reason + "\r\n" + headers;
    String text = head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Ends the worker as the end of its process does, with whatever it is running. */
  @Override
  public void close() {
    closed = true;
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      // Nothing more can be done about a socket that does not close.
    }
  }
}
