package org.apricotstand.it;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import org.apricotstand.standin.process.Await;

/** HTTP client for tests; uses that of the JDK to share no code with the software under test. */
public final class TestCaller {

  private static final Duration TIMEOUT = Duration.ofMillis(Await.TIMEOUT_MS);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();

  /** Sends a POST request and waits for the end of its answer. */
  public Answer post(
      InetSocketAddress address, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + ProcessCluster.hostAndPort(address) + path))
            .timeout(TIMEOUT)
            .header("content-type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    return send(request.build());
  }

  /** Sends a GET request and waits for the end of its answer. */
  public Answer get(InetSocketAddress address, String path) {
    URI uri = URI.create("http://" + ProcessCluster.hostAndPort(address) + path);
    return send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build());
  }

  /** Sends a POST request without blocking; the future ends with the end of its answer. */
  public CompletableFuture<Answer> postAsync(
      InetSocketAddress address, String path, String body, Map<String, String> headers) {
    return CompletableFuture.supplyAsync(
        () -> post(address, path, body, headers), Executors.newVirtualThreadPerTaskExecutor());
  }

  private Answer send(HttpRequest request) {
    try {
      return readAnswer(client.send(request, HttpResponse.BodyHandlers.ofInputStream()));
    } catch (IOException e) {
      return new Answer(0, Map.of(), String.valueOf(e.getMessage()), false);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static Answer readAnswer(HttpResponse<InputStream> response) {
    Map<String, String> headers = new LinkedHashMap<>();
    response.headers().map().forEach((name, values) -> headers.put(name, values.getFirst()));
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean isComplete = true;
    try (InputStream stream = response.body()) {
      stream.transferTo(body);
    } catch (IOException e) {
      isComplete = false;
    }
    return new Answer(
        response.statusCode(), headers, body.toString(StandardCharsets.UTF_8), isComplete);
  }
}
