package org.apricotstand.standin.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotstand.http.HttpReply;
import org.apricotstand.standin.HttpTestClient;
import org.apricotstand.standin.platform.PlatformSettings;
import org.apricotstand.standin.platform.StandInPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine that accepts requests and loads that a real engine refuses, or refuses
 * what a real engine accepts.
 */
final class StandInEngineTest {

  private static final long LONG_STEP_MS = 50;

  private final HttpTestClient client = new HttpTestClient();
  private final StandInPlatform platform =
      StandInPlatform.start(client.group(), new PlatformSettings("127.0.0.1:0", 1_000, 100, 8, 1));
  private StandInEngine engine;

  @AfterEach
  void close() {
    engine.close();
    platform.close();
    client.close();
  }

  @Test
  void refusesUnloadedAdaptersAndStaleFencingNumbers() {
    start(2, 1, 4, true);
    assertThat(complete("a@v1", "x", "r1").join().status()).isEqualTo(409);
    assertThat(load("a@v1", 5)).isEqualTo(200);
    assertThat(load("b@v1", 4)).isEqualTo(409);
    assertThat(complete("a@v1", "x", "r2", "x-fencing", "4").join().text()).contains("stale");
    assertThat(complete("a@v1", "x", "r3", "x-fencing", "5").join().status()).isEqualTo(200);
    assertThat(count(EngineEvent.Kind.STARTED)).isEqualTo(1);
  }

  @Test
  void acceptsStaleFencingNumbersWhenNotEnforced() {
    start(2, 1, 4, false);
    load("a@v1", 5);
    assertThat(load("b@v1", 4)).isEqualTo(200);
  }

  @Test
  void refusesLoadsWhenAllSlotsAreTaken() {
    start(1, 1, 4, true);
    assertThat(load("a@v1", 5)).isEqualTo(200);
    assertThat(load("b@v1", 5)).isEqualTo(409);
    assertThat(unload("a@v1")).isEqualTo(200);
    assertThat(load("b@v1", 5)).isEqualTo(200);
  }

  @Test
  void unloadAbortsAndRecordsRunningSequences() {
    start(1, LONG_STEP_MS, 1_000, true);
    load("a@v1", 5);
    CompletableFuture<HttpReply> running = complete("a@v1", "x", "r1");
    awaitCount(EngineEvent.Kind.STARTED, 1);
    unload("a@v1");
    assertThrows(CompletionException.class, running::join);
    EngineEvent unloaded =
        engine.events().stream()
            .filter(event -> event.kind() == EngineEvent.Kind.UNLOADED)
            .findFirst()
            .orElseThrow();
    assertThat(unloaded.inUse()).isEqualTo(1);
  }

  @Test
  void crashOnMarkedPromptRestartsWithEmptySlotsAndNewIncarnation() {
    start(1, 1, 4, true);
    load("a@v1", 5);
    setFaults("{\"crash_marker\":\"poison\"}");
    String before = client.get(url("/v1/state")).text();
    assertThrows(CompletionException.class, () -> complete("a@v1", "a poison", "r1").join());
    awaitCount(EngineEvent.Kind.COLD_START, 2);
    String after = client.get(url("/v1/state")).text();
    assertThat(before).contains("a@v1");
    assertThat(after).contains("\"resident\":[]");
    assertThat(complete("a@v1", "x", "r2").join().status()).isEqualTo(409);
    assertThat(engine.events().getLast().incarnation())
        .isNotEqualTo(engine.events().getFirst().incarnation());
  }

  @Test
  void failsTheRequestedNumberOfLoads() {
    start(1, 1, 4, true);
    setFaults("{\"failing_loads\":1,\"failing_adapter\":\"a@v1\"}");
    assertThat(load("a@v1", 5)).isEqualTo(503);
    assertThat(load("a@v1", 5)).isEqualTo(200);
  }

  @Test
  void interactiveRequestsRunBeforeWaitingBackgroundRequests() {
    start(1, 1, 2, true);
    load("a@v1", 5);
    List<CompletableFuture<HttpReply>> blockers = fillBatch(1);
    CompletableFuture<HttpReply> background =
        complete("a@v1", "x", "slow", "x-priority", "BACKGROUND");
    awaitCount(EngineEvent.Kind.ACCEPTED, 2);
    CompletableFuture<HttpReply> interactive =
        complete("a@v1", "x", "fast", "x-priority", "INTERACTIVE");
    awaitCount(EngineEvent.Kind.ACCEPTED, 3);
    cancelBlockers(blockers);
    background.join();
    interactive.join();
    List<String> started =
        engine.events().stream()
            .filter(event -> event.kind() == EngineEvent.Kind.STARTED)
            .map(EngineEvent::requestId)
            .toList();
    assertThat(started).containsExactly("blocker", "fast", "slow").inOrder();
  }

  @Test
  void resumesFromTheRequestedToken() {
    start(1, 1, 4, true);
    load("a@v1", 5);
    complete("a@v1", "x", "r1").join();
    HttpReply resumed =
        client
            .post(url("/v1/resume"), "{\"request_id\":\"r1\",\"from_token\":2}", "x-fencing", "5")
            .join();
    assertThat(resumed.text()).contains("token 2. ");
    assertThat(resumed.text()).contains("token 3. ");
    assertThat(resumed.text()).doesNotContain("token 1. ");
  }

  @Test
  void cancelAbortsARunningSequence() {
    start(1, LONG_STEP_MS, 1_000, true);
    load("a@v1", 5);
    CompletableFuture<HttpReply> running = complete("a@v1", "x", "r1");
    awaitCount(EngineEvent.Kind.STARTED, 1);
    client.post(url("/v1/cancel"), "{\"request_id\":\"r1\"}").join();
    assertThrows(CompletionException.class, running::join);
    assertThat(count(EngineEvent.Kind.CANCELED)).isEqualTo(1);
  }

  @Test
  void crossedAnswersGoToEachOthersConnection() {
    start(2, 1, 2, true);
    load("a@v1", 5);
    load("b@v1", 5);
    List<CompletableFuture<HttpReply>> blockers = fillBatch(2);
    CompletableFuture<HttpReply> first = complete("a@v1", "x", "r1");
    CompletableFuture<HttpReply> second = complete("b@v1", "x", "r2");
    awaitCount(EngineEvent.Kind.ACCEPTED, 4);
    setFaults("{\"crossed_answers\":1}");
    cancelBlockers(blockers);
    assertThat(first.join().text()).contains("b@v1 token 0. ");
    assertThat(second.join().text()).contains("a@v1 token 0. ");
  }

  /** Fills the batch with sequences that run until they are canceled. */
  private List<CompletableFuture<HttpReply>> fillBatch(int count) {
    String body = "{\"model\":\"a@v1\",\"prompt\":\"x\",\"max_tokens\":1000000}";
    List<CompletableFuture<HttpReply>> blockers =
        java.util.stream.IntStream.range(0, count)
            .mapToObj(
                number ->
                    client.post(
                        url("/v1/completions"), body, "x-request-id", "blocker", "x-fencing", "5"))
            .toList();
    awaitCount(EngineEvent.Kind.STARTED, count);
    return blockers;
  }

  private void cancelBlockers(List<CompletableFuture<HttpReply>> blockers) {
    client.post(url("/v1/cancel"), "{\"request_id\":\"blocker\"}").join();
    blockers.forEach(blocker -> assertThrows(CompletionException.class, blocker::join));
  }

  private void start(int slots, long stepMs, int tokens, boolean enforceFencing) {
    int maxBatch = slots;
    EngineSettings settings =
        new EngineSettings(
            "engine",
            "127.0.0.1:0",
            platform.url(),
            slots,
            maxBatch,
            stepMs,
            tokens,
            enforceFencing);
    engine = StandInEngine.start(client.group(), client.http(), settings);
  }

  private String url(String path) {
    return HttpTestClient.url(engine.address()) + path;
  }

  private CompletableFuture<HttpReply> complete(
      String model, String prompt, String requestId, String... headers) {
    String[] allHeaders = new String[headers.length + 2];
    System.arraycopy(headers, 0, allHeaders, 2, headers.length);
    allHeaders[0] = "x-request-id";
    allHeaders[1] = requestId;
    boolean hasFencingHeader = List.of(headers).contains("x-fencing");
    String body = "{\"model\":\"%s\",\"prompt\":\"%s\"}".formatted(model, prompt);
    return hasFencingHeader
        ? client.post(url("/v1/completions"), body, allHeaders)
        : client.post(
            url("/v1/completions"),
            body,
            java.util.stream.Stream.concat(
                    java.util.stream.Stream.of(allHeaders),
                    java.util.stream.Stream.of("x-fencing", "5"))
                .toArray(String[]::new));
  }

  private int load(String name, long fencing) {
    return sendCommand("/v1/load_lora_adapter", name, fencing);
  }

  private int unload(String name) {
    return sendCommand("/v1/unload_lora_adapter", name, 5);
  }

  private int sendCommand(String path, String name, long fencing) {
    String body = "{\"lora_name\":\"" + name + "\"}";
    return client.post(url(path), body, "x-fencing", "" + fencing).join().status();
  }

  private void setFaults(String changes) {
    client.post(url("/faults"), changes).join();
  }

  private long count(EngineEvent.Kind kind) {
    return engine.events().stream().filter(event -> event.kind() == kind).count();
  }

  private void awaitCount(EngineEvent.Kind kind, int expected) {
    long deadlineNanos = System.nanoTime() + java.time.Duration.ofSeconds(60).toNanos();
    while (count(kind) < expected) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      Thread.onSpinWait();
    }
  }
}
