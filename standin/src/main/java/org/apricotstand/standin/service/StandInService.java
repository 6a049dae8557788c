package org.apricotstand.standin.service;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.http.HttpServer;

/**
 * Plain service that counts its runs per request identity. {@code GET /events} returns the runs as
 * JSON lines; {@code POST /faults} sets faults, with the fields of {@link ServiceFaults}.
 */
public final class StandInService implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String identitySource;
  private final Map<String, Integer> runCountByIdentity = new TreeMap<>();
  private final List<ServiceEvent> events = new ArrayList<>();
  private final ServiceFaults faults = new ServiceFaults();
  private final ControlThread timer = new ControlThread();
  private final HttpServer server;

  private StandInService(EventLoopGroup group, InetSocketAddress address, String identitySource) {
    this.identitySource = identitySource;
    this.server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
  }

  /**
   * Starts a service and its HTTP server.
   *
   * @param identitySource header that carries the request identity, or a JSON pointer into the body
   *     when it starts with a slash
   */
  public static StandInService start(
      EventLoopGroup group, InetSocketAddress address, String identitySource) {
    return new StandInService(group, address, identitySource);
  }

  /** Returns the address that the service listens on. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns how many times requests with this identity were run. */
  public synchronized int runCount(String requestIdentity) {
    return runCountByIdentity.getOrDefault(requestIdentity, 0);
  }

  /** Returns all runs so far. */
  public synchronized List<ServiceEvent> events() {
    return List.copyOf(events);
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.request().path()) {
      case "/events" -> respondEvents(exchange);
      case "/faults" -> setFaults(exchange);
      default -> run(exchange);
    }
  }

  private synchronized void setFaults(HttpExchange exchange) {
    try {
      faults.apply(JSON.readTree(exchange.request().body()));
      exchange.respondJson(200, "{}");
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private synchronized void run(HttpExchange exchange) {
    ServiceFaults.RunOutcome outcome = faults.takeOutcome();
    if (outcome == ServiceFaults.RunOutcome.CRASH_BEFORE_RUN) {
      exchange.abort();
      return;
    }
    String requestIdentity = identityOf(exchange.request());
    int count = runCountByIdentity.merge(requestIdentity, 1, Integer::sum);
    events.add(
        new ServiceEvent(ControlThread.nowMs(), requestIdentity, exchange.request().path(), count));
    String answer = "{\"identity\":\"" + requestIdentity + "\",\"run\":" + count + "}";
    Runnable sendAnswer =
        () -> {
          switch (outcome) {
            case ANSWERED -> exchange.respondJson(200, answer);
            case CRASH_AFTER_RUN -> exchange.abort();
            default -> {}
          }
        };
    if (faults.delayMs() == 0) {
      sendAnswer.run();
    } else {
      timer.executeAt(ControlThread.nowMs() + faults.delayMs(), sendAnswer);
    }
  }

  private String identityOf(HttpRequest request) {
    if (!identitySource.startsWith("/")) {
      String header = request.header(identitySource);
      return header == null ? "" : header;
    }
    try {
      return JSON.readTree(request.body()).at(identitySource).asText();
    } catch (IOException e) {
      return "";
    }
  }

  private void respondEvents(HttpExchange exchange) {
    String lines =
        events().stream().map(event -> toJson(event) + "\n").collect(Collectors.joining());
    exchange.respond(
        200,
        Map.of("content-type", "application/x-ndjson"),
        lines.getBytes(StandardCharsets.UTF_8));
  }

  private static String toJson(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    server.close();
    timer.stop();
  }
}
