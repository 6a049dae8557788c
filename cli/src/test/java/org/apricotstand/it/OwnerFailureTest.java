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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Failures of the instance that owns an engine, and of its links. */
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
    // The engine takes commands with old fencing numbers, so only the instances protect it.
    cluster.startEngine(ENGINE, "a", 2, 8, "--step-ms", "5", "--ignore-fencing");
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "a", "entry-3", "a"));
    cluster.apply(DECLARATIONS);
    Await.until("an owner", () -> ownerRow() != null);
    owner = ownerRow().path("owner").asText();
    fencing = ownerRow().path("fencing").asLong();
    answersFrom("entry-1", "letters");
  }

  @AfterEach
  void stopCluster() throws IOException {
    cluster.close();
  }

  /** Guards against an engine that stays without an owner, and against taking it back. */
  @Test
  void anotherInstanceTakesOverFromAKilledOwner() throws IOException {
    cluster.process(owner).kill();
    awaitNewOwner();
    String successor = ownerRow().path("owner").asText();
    answersFrom(other(), "letters");
    cluster.restart(owner);
    awaitLog(owner, "lease_held", 1);
    awaitLog(successor, "quarantine_ended", 1);
    answersFrom(owner, "summaries");
    assertThat(ownerRow().path("owner").asText()).isEqualTo(successor);
  }

  /** Guards against a paused owner that goes on as if it still held its lease. */
  @Test
  void pausedOwnerGivesUpItsTargetsWhenItResumes() {
    cluster.process(owner).pause();
    awaitNewOwner();
    String successor = ownerRow().path("owner").asText();
    for (String entry : ENTRIES) {
      if (!entry.equals(owner)) {
        answersFrom(entry, "letters");
      }
    }
    cluster.process(owner).resume();
    awaitLog(owner, "process_paused", 1);
    awaitLog(owner, "ownership_lost", 1);
    awaitLog(successor, "quarantine_ended", 1);
    answersFrom(owner, "summaries");
    assertThat(evictionsInUse()).isEqualTo(0);
  }

  /** Guards against an outage of the platform that stops traffic, loads or evictions. */
  @Test
  void domainCutOffFromThePlatformServesAndLoads() {
    ENTRIES.forEach(entry -> cluster.proxy(Link.toPlatform(entry)).partition());
    awaitLog(owner, "lease_not_held", 1);
    for (String entry : ENTRIES) {
      answersFrom(entry, "letters");
      answersFrom(entry, "summaries");
    }
    ENTRIES.forEach(
        entry -> {
          cluster.proxy(Link.toPlatform(entry)).heal();
          cluster.proxy(Link.toPlatform(entry)).resetConnections();
        });
    awaitLog(owner, "lease_held", 2);
    answersFrom(other(), "letters");
    assertThat(ownerRow().path("owner").asText()).isEqualTo(owner);
    assertThat(ownerRow().path("fencing").asLong()).isEqualTo(fencing);
  }

  /** Guards against an isolated owner that blocks its engine or returns with stale rights. */
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
    answersFrom(successor, "letters");
    cluster.proxy(Link.toPlatform(owner)).heal();
    cluster.proxy(Link.toPlatform(owner)).resetConnections();
    for (String entry : ENTRIES) {
      if (!entry.equals(owner)) {
        cluster.proxy(Link.peer(owner, entry)).heal();
        cluster.proxy(Link.peer(entry, owner)).heal();
      }
    }
    awaitLog(owner, "ownership_lost", 1);
    awaitLog(successor, "quarantine_ended", 1);
    answersFrom(owner, "summaries");
    assertThat(evictionsInUse()).isEqualTo(0);
  }

  /** Guards against a graceful stop that cuts off or refuses requests. */
  @Test
  void drainUnderLoadCutsOffNoRequest() {
    AtomicBoolean stop = new AtomicBoolean();
    Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    List<String> staying = ENTRIES.stream().filter(entry -> !entry.equals(owner)).toList();
    List<CompletableFuture<Void>> callers =
        IntStream.range(0, 6)
            .mapToObj(
                i ->
                    CompletableFuture.runAsync(
                        () -> {
                          while (!stop.get()) {
                            answers.add(
                                cluster.complete(staying.get(i % 2), "letters", i % 3 == 0));
                          }
                        },
                        Executors.newVirtualThreadPerTaskExecutor()))
            .toList();
    Await.until("traffic", () -> answers.size() > 20);
    List<CompletableFuture<Answer>> atTheLeavingOne =
        IntStream.range(0, 4)
            .mapToObj(i -> CompletableFuture.supplyAsync(() -> streamFrom(owner)))
            .toList();
    Await.until("requests at the leaving instance", () -> started("leaving") == 4);
    cluster.process(owner).terminate();
    cluster.process(owner).awaitExit();
    awaitNewOwner();
    int before = answers.size();
    Await.until("traffic after the drain", () -> answers.size() > before + 20);
    stop.set(true);
    callers.forEach(CompletableFuture::join);
    for (Answer answer : answers) {
      assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
      assertWithMessage(answer.toString()).that(answer.whole()).isTrue();
    }
    for (CompletableFuture<Answer> answer : atTheLeavingOne) {
      assertWithMessage(answer.join().toString()).that(answer.join().status()).isEqualTo(200);
      assertThat(answer.join().whole()).isTrue();
      assertThat(answer.join().body()).endsWith("data: [DONE]\n\n");
    }
    assertThat(evictionsInUse()).isEqualTo(0);
  }

  /** Guards against a restarted instance that is taken for the old process. */
  @Test
  void restartedOwnerGetsANewFencingNumber() throws IOException {
    cluster.process(owner).kill();
    cluster.restart(owner);
    awaitNewOwner();
    answersFrom(other(), "letters");
    answersFrom(owner, "summaries");
  }

  /** Guards against a second takeover in a row that forgets the first owner. */
  @Test
  void secondOwnerIsReplacedToo() {
    cluster.process(owner).pause();
    awaitNewOwner();
    String second = ownerRow().path("owner").asText();
    cluster.process(second).kill();
    Await.until("a third owner", () -> ownerRow().path("fencing").asLong() > fencing + 1);
    String third = ownerRow().path("owner").asText();
    answersFrom(third, "letters");
    assertThat(third).isNotEqualTo(owner);
    assertThat(namesOfFormers()).containsAtLeast(owner, second);
    cluster.process(owner).resume();
    awaitLog(owner, "ownership_lost", 1);
    answersFrom(owner, "summaries");
    assertThat(evictionsInUse()).isEqualTo(0);
  }

  /** Guards against lost answers and slow ones that end leases or move targets. */
  @Test
  void slowPlatformThatLosesAnswersMovesNothing() {
    platformFaults("{\"lost_answers\":0.1,\"slow_ms\":700,\"seed\":1}");
    long renewals = leaseNonce();
    Await.until("renewals", () -> leaseNonce() >= renewals + 8);
    for (String entry : ENTRIES) {
      answersFrom(entry, "summaries");
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

  private List<String> namesOfFormers() {
    return ownerRow().path("formers").findValuesAsText("instance");
  }

  private void platformFaults(String change) {
    cluster
        .caller()
        .post(cluster.directAddress(ProcessCluster.PLATFORM), "/faults", change, Map.of());
  }

  private long leaseNonce() {
    return read(ProcessCluster.PLATFORM, "/tables/leases/rows/" + owner)
        .path("value")
        .path("nonce")
        .asLong();
  }

  private String other() {
    return ENTRIES.stream().filter(entry -> !entry.equals(owner)).findFirst().orElseThrow();
  }

  private void awaitNewOwner() {
    Await.until("a new owner", () -> ownerRow().path("fencing").asLong() > fencing);
  }

  /** Waits until an entry instance has logged an event a number of times. */
  private void awaitLog(String entry, String event, int times) {
    Await.until(
        event + " at " + entry,
        () ->
            cluster.process(entry).output().stream()
                    .filter(line -> line.contains("event=" + event + " "))
                    .count()
                >= times);
  }

  /** Waits until an entry instance answers; refusals before that say that nothing was run. */
  private void answersFrom(String entry, String adapter) {
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

  private Answer streamFrom(String entry) {
    String body =
        "{\"model\":\"letters\",\"prompt\":\"Hello\",\"stream\":true,\"max_tokens\":400,"
            + "\"user\":\"leaving\"}";
    return cluster.caller().post(cluster.callerAddress(entry), "/v1/completions", body, Map.of());
  }

  private long started(String user) {
    return engineEvents()
        .filter(event -> event.path("kind").asText().equals("STARTED"))
        .filter(event -> event.path("user").asText().equals(user))
        .count();
  }

  private long evictionsInUse() {
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
    JsonNode row = read(ProcessCluster.PLATFORM, "/tables/owners/rows/" + ENGINE).path("value");
    return row.isMissingNode() ? null : row;
  }

  private JsonNode read(String process, String path) {
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
