package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests failures of the instance that owns an engine, and of its links. */
final class OwnerFailureTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
  private static final String ENGINE = "engine-1";
  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      adapters:
        - {name: letters, model: base, versions: [v1]}
        - {name: summaries, model: base, versions: [v1]}
      policy: {stallWeight: 1, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 10000}
      """;

  private ProcessCluster cluster;
  private String owner;
  private long fencing;

  @BeforeEach
  void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform("--load-ms", "50", "--loads-per-second", "20");
    // The engine accepts commands with stale fencing tokens, so that only the instances themselves
    // keep a former owner from using it.
    cluster.startEngine(ENGINE, "a", 2, 8, "--step-ms", "5", "--ignore-fencing");
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "a", "entry-3", "a"));
    cluster.apply(DECLARATIONS);
    Await.until("first owner of the engine", () -> ownerRow() != null);
    owner = ownerRow().path("owner").asText();
    fencing = ownerRow().path("fencing").asLong();
    awaitAnswer("entry-1", "letters");
  }

  @AfterEach
  void stopCluster() throws IOException {
    cluster.close();
  }

  /**
   * Guards against an engine that stays without an owner, and a restarted former owner that takes
   * it back.
   */
  @Test
  void anotherInstanceTakesOverFromAKilledOwner() throws IOException {
    cluster.process(owner).kill();
    awaitNewOwner();
    String successor = ownerRow().path("owner").asText();
    awaitAnswer(anyNonOwner(), "letters");
    cluster.restart(owner);
    awaitLogEvents(owner, "lease_held", 1);
    awaitLogEvents(successor, "quarantine_ended", 1);
    awaitAnswer(owner, "summaries");
    assertThat(ownerRow().path("owner").asText()).isEqualTo(successor);
  }

  /** Guards against a paused owner that resumes as if it still held its lease. */
  @Test
  void pausedOwnerGivesUpItsTargetsWhenItResumes() {
    cluster.process(owner).pause();
    awaitNewOwner();
    String successor = ownerRow().path("owner").asText();
    for (String entry : ENTRIES) {
      if (!entry.equals(owner)) {
        awaitAnswer(entry, "letters");
      }
    }
    cluster.process(owner).resume();
    awaitLogEvents(owner, "process_paused", 1);
    awaitLogEvents(owner, "ownership_lost", 1);
    awaitLogEvents(successor, "quarantine_ended", 1);
    awaitAnswer(owner, "summaries");
    assertThat(inUseEvictionCount()).isEqualTo(0);
  }

  /** Guards against an outage of the platform that stops traffic, loads or evictions. */
  @Test
  void domainCutOffFromThePlatformServesAndLoads() {
    ENTRIES.forEach(entry -> cluster.proxy(Link.toPlatform(entry)).partition());
    awaitLogEvents(owner, "lease_not_held", 1);
    for (String entry : ENTRIES) {
      awaitAnswer(entry, "letters");
      awaitAnswer(entry, "summaries");
    }
    ENTRIES.forEach(
        entry -> {
          cluster.proxy(Link.toPlatform(entry)).heal();
          cluster.proxy(Link.toPlatform(entry)).resetConnections();
        });
    awaitLogEvents(owner, "lease_held", 2);
    awaitAnswer(anyNonOwner(), "letters");
    assertThat(ownerRow().path("owner").asText()).isEqualTo(owner);
    assertThat(ownerRow().path("fencing").asLong()).isEqualTo(fencing);
  }

  /** Guards against an isolated owner that keeps its engine, or uses it after the takeover. */
  @Test
  void isolatedOwnerLosesItsTargets() {
    cluster.proxy(Link.toPlatform(owner)).partition();
    for (String entry : ENTRIES) {
      if (!entry.equals(owner)) {
        cluster.proxy(Link.peer(owner, entry)).partition();
        cluster.proxy(Link.peer(entry, owner)).partition();
      }
    }
    awaitNewOwner();
    String successor = ownerRow().path("owner").asText();
    awaitAnswer(successor, "letters");
    cluster.proxy(Link.toPlatform(owner)).heal();
    cluster.proxy(Link.toPlatform(owner)).resetConnections();
    for (String entry : ENTRIES) {
      if (!entry.equals(owner)) {
        cluster.proxy(Link.peer(owner, entry)).heal();
        cluster.proxy(Link.peer(entry, owner)).heal();
      }
    }
    awaitLogEvents(owner, "ownership_lost", 1);
    awaitLogEvents(successor, "quarantine_ended", 1);
    awaitAnswer(owner, "summaries");
    assertThat(inUseEvictionCount()).isEqualTo(0);
  }

  /** Guards against a graceful stop under load that cuts off or refuses requests. */
  @Test
  void drainUnderLoadCutsOffNoRequest() {
    AtomicBoolean stop = new AtomicBoolean();
    Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    List<String> remainingEntries = ENTRIES.stream().filter(entry -> !entry.equals(owner)).toList();
    List<CompletableFuture<Void>> callers =
        IntStream.range(0, 6)
            .mapToObj(
                i ->
                    CompletableFuture.runAsync(
                        () -> {
                          while (!stop.get()) {
                            answers.add(
                                cluster.complete(
                                    remainingEntries.get(i % 2), "letters", i % 3 == 0));
                          }
                        },
                        Executors.newVirtualThreadPerTaskExecutor()))
            .toList();
    Await.until("traffic before the drain", () -> answers.size() > 20);
    List<CompletableFuture<Answer>> answersAtLeavingInstance =
        IntStream.range(0, 4)
            .mapToObj(i -> CompletableFuture.supplyAsync(() -> requestStream(owner)))
            .toList();
    Await.until("requests at the leaving instance", () -> startedRequestCount("leaving") == 4);
    cluster.process(owner).terminate();
    cluster.process(owner).awaitExit();
    awaitNewOwner();
    int countAfterDrain = answers.size();
    Await.until("traffic after the drain", () -> answers.size() > countAfterDrain + 20);
    stop.set(true);
    callers.forEach(CompletableFuture::join);
    for (Answer answer : answers) {
      assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
      assertWithMessage(answer.toString()).that(answer.isComplete()).isTrue();
    }
    for (CompletableFuture<Answer> answer : answersAtLeavingInstance) {
      assertWithMessage(answer.join().toString()).that(answer.join().status()).isEqualTo(200);
      assertThat(answer.join().isComplete()).isTrue();
      assertThat(answer.join().body()).endsWith("data: [DONE]\n\n");
    }
    assertThat(inUseEvictionCount()).isEqualTo(0);
  }

  /** Guards against a restarted instance that is treated as the process before the restart. */
  @Test
  void restartedOwnerGetsANewFencingNumber() throws IOException {
    cluster.process(owner).kill();
    cluster.restart(owner);
    awaitNewOwner();
    awaitAnswer(anyNonOwner(), "letters");
    awaitAnswer(owner, "summaries");
  }

  /**
   * Guards against a second takeover that drops the first owner, which is still paused, from the
   * list of former owners.
   */
  @Test
  void secondTakeoverRemembersFirstOwner() {
    cluster.process(owner).pause();
    awaitNewOwner();
    String second = ownerRow().path("owner").asText();
    cluster.process(second).kill();
    Await.until(
        "third owner of the engine", () -> ownerRow().path("fencing").asLong() > fencing + 1);
    String third = ownerRow().path("owner").asText();
    awaitAnswer(third, "letters");
    assertThat(third).isNotEqualTo(owner);
    assertThat(formerOwnerNames()).containsAtLeast(owner, second);
    cluster.process(owner).resume();
    awaitLogEvents(owner, "ownership_lost", 1);
    awaitAnswer(owner, "summaries");
    assertThat(inUseEvictionCount()).isEqualTo(0);
  }

  /** Guards against lost or slow responses of the platform that end leases or move targets. */
  @Test
  void slowPlatformThatLosesResponsesChangesNoOwner() {
    setPlatformFaults("{\"lost_answers\":0.1,\"slow_ms\":700,\"seed\":1}");
    long nonceBefore = leaseNonce();
    Await.until("eight renewals of the lease", () -> leaseNonce() >= nonceBefore + 8);
    for (String entry : ENTRIES) {
      awaitAnswer(entry, "summaries");
    }
    assertThat(ownerRow().path("owner").asText()).isEqualTo(owner);
    assertThat(ownerRow().path("fencing").asLong()).isEqualTo(fencing);
  }

  /** Guards against new work for an engine that the platform is removing. */
  @Test
  void leavingEngineGetsNoNewWork() {
    String leaving =
        "{\"name\":\"engine-1\",\"kind\":\"target\",\"incarnation\":0,\"domain\":\"a\","
            + "\"address\":\"127.0.0.1:1\",\"leaving\":true}";
    cluster
        .caller()
        .post(cluster.directAddress(ProcessCluster.PLATFORM), "/instances", leaving, Map.of());
    for (String entry : ENTRIES) {
      Await.until(
          entry + " refuses",
          () ->
              cluster
                  .complete(entry, "letters", false)
                  .header("x-apricotstand-outcome")
                  .equals("not_run"));
    }
  }

  private List<String> formerOwnerNames() {
    return ownerRow().path("formers").findValuesAsText("instance");
  }

  private void setPlatformFaults(String faults) {
    cluster
        .caller()
        .post(cluster.directAddress(ProcessCluster.PLATFORM), "/faults", faults, Map.of());
  }

  private long leaseNonce() {
    return readJson(ProcessCluster.PLATFORM, "/tables/leases/rows/" + owner)
        .path("value")
        .path("nonce")
        .asLong();
  }

  private String anyNonOwner() {
    return ENTRIES.stream().filter(entry -> !entry.equals(owner)).findFirst().orElseThrow();
  }

  private void awaitNewOwner() {
    Await.until("new owner of the engine", () -> ownerRow().path("fencing").asLong() > fencing);
  }

  /** Waits until an entry instance has logged an event at least a number of times. */
  private void awaitLogEvents(String entry, String event, int minCount) {
    Await.until(
        event + " at " + entry,
        () ->
            cluster.process(entry).output().stream()
                    .filter(line -> line.contains("event=" + event + " "))
                    .count()
                >= minCount);
  }

  /**
   * Waits until an entry instance answers a request for an adapter, and fails if a request before
   * that ends in any way but a refusal with outcome not_run.
   */
  private void awaitAnswer(String entry, String adapter) {
    Await.until(
        entry + " answers",
        () -> {
          Answer answer = cluster.complete(entry, adapter, false);
          assertWithMessage(answer.toString())
              .that(answer.status() == 200 || "not_run".equals(outcome(answer)))
              .isTrue();
          return answer.status() == 200;
        });
  }

  private static String outcome(Answer answer) {
    return answer.header("x-apricotstand-outcome");
  }

  private Answer requestStream(String entry) {
    String body =
        "{\"model\":\"letters\",\"prompt\":\"Hello\",\"stream\":true,\"max_tokens\":400,"
            + "\"user\":\"leaving\"}";
    return cluster.caller().post(cluster.callerAddress(entry), "/v1/completions", body, Map.of());
  }

  private long startedRequestCount(String user) {
    return engineEvents()
        .filter(event -> event.path("kind").asText().equals("STARTED"))
        .filter(event -> event.path("user").asText().equals(user))
        .count();
  }

  private long inUseEvictionCount() {
    return engineEvents()
        .filter(event -> event.path("kind").asText().equals("UNLOADED"))
        .filter(event -> event.path("inUse").asLong() > 0)
        .count();
  }

  private Stream<JsonNode> engineEvents() {
    String lines = cluster.caller().get(cluster.directAddress(ENGINE), "/events").body();
    return lines.lines().map(OwnerFailureTest::parse);
  }

  private JsonNode ownerRow() {
    JsonNode row = readJson(ProcessCluster.PLATFORM, "/tables/owners/rows/" + ENGINE).path("value");
    return row.isMissingNode() ? null : row;
  }

  private JsonNode readJson(String process, String path) {
    return parse(cluster.caller().get(cluster.directAddress(process), path).body());
  }

  private static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
