package org.apricotstand.suspects;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.HttpClient;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.suspect.CrashSuspects;
import org.apricotstand.suspect.SuspectRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SuspectServiceTest {

  private static final long CRASH_TIMEOUT_MS = 10_000;
  private static final String HARMFUL = "harmful@v1";
  private static final TargetId ENGINE = new TargetId("engine-9");
  private static final InstanceId OTHER = new InstanceId("entry-2");

  private final ControlThread control = new ControlThread();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final SuspectService suspects = newService(sent);

  @AfterEach
  void stop() {
    control.stop();
  }

  private SuspectService newService(List<PeerMessage> sentMessages) {
    return newService(null, sentMessages);
  }

  private SuspectService newService(EngineClient engines, List<PeerMessage> sentMessages) {
    return new SuspectService(
        control,
        engines,
        (peer, message) -> sentMessages.add(message),
        () -> List.of(OTHER),
        new Metrics());
  }

  private static EngineRequest request(String adapterVersion, String body) {
    ScheduledRequest scheduled =
        new ScheduledRequest(
            new RequestId("r-" + body),
            1,
            AdapterVersion.parse(adapterVersion),
            RequestClass.STANDARD,
            "caller",
            0,
            0);
    return new EngineRequest(
        scheduled, "/v1/completions", "", body.getBytes(StandardCharsets.UTF_8));
  }

  /** Reports crashes of different engines, each by another request for the same adapter. */
  private void crash(int count, String adapterVersion, boolean begun) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      EngineRequest request = request(adapterVersion, "body " + i);
      suspects.reportCrash(request, new TargetId("engine-" + i), 1, begun);
      Thread.sleep(CrashSuspects.MOMENT_MS);
    }
  }

  private static String refusalCode(SuspectService service, EngineRequest request) {
    return service.admit(ENGINE, request) instanceof Result.Failed<EngineRequest>(Failure failure)
        ? failure.code()
        : "";
  }

  // Guards against an adapter that crashes engine after engine in requests of which no two are
  // alike.
  @Test
  void anAdapterThatCrashesEnginesIsRefusedInOtherRequests() throws InterruptedException {
    crash(3, HARMFUL, false);
    assertThat(refusalCode(suspects, request(HARMFUL, "new"))).isEqualTo(SuspectRegistry.REFUSED);
    assertThat(refusalCode(suspects, request("harmless@v1", "new"))).isEmpty();
  }

  // Guards against instances that each let the adapter crash as many engines.
  @Test
  void otherInstancesRefuseTheAdapterToo() throws InterruptedException {
    SuspectService other = newService(new ArrayList<>());
    int passedOn = 0;
    for (int i = 1; i <= 3; i++) {
      suspects.reportCrash(request(HARMFUL, "body " + i), new TargetId("engine-" + i), 1, false);
      for (PeerMessage message : sent.subList(passedOn, sent.size())) {
        other.onMessage(OTHER, message);
      }
      passedOn = sent.size();
      Thread.sleep(CrashSuspects.MOMENT_MS);
    }
    assertThat(refusalCode(other, request(HARMFUL, "new"))).isEqualTo(SuspectRegistry.REFUSED);
  }

  // Guards against refusing an adapter because engines crashed while they answered its requests.
  @Test
  void requestsWhoseAnswerHadBegunDoNotBlameTheirAdapter() throws InterruptedException {
    crash(4, HARMFUL, true);
    assertThat(refusalCode(suspects, request(HARMFUL, "new"))).isEmpty();
  }

  // Guards against refusing an adapter that another request was just answered with.
  @Test
  void anAnswerClearsTheAdapter() throws InterruptedException {
    crash(2, HARMFUL, false);
    suspects.recordAnswer(request(HARMFUL, "answered"));
    crash(3, HARMFUL, false);
    assertThat(refusalCode(suspects, request(HARMFUL, "new"))).isEmpty();
  }

  // Guards against refusing a request that its caller had canceled and sends again, while the
  // engine
  // is asked whether it crashed, and against missing a crash of a canceled request.
  @Test
  void aCanceledRequestIsASuspectOnlyAfterACrash() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpClient http = new HttpClient(group);
    SuspectService service = newService(new EngineClient(http), new ArrayList<>());
    EngineRequest request = request("letters@v1", "body");
    ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    try {
      String address = "127.0.0.1:" + silent.getLocalPort();
      service
          .onDispatched(ENGINE, address, 1, request, new IgnoringSink())
          .fail(
              new Outcome.OutcomeUnknown(
                  new Failure(Step.ANSWER, ENGINE.value(), CallFailure.CANCELED, "test")));
      assertThat(refusalCodeOnControlThread(service, request)).isEmpty();
      silent.close();
      long endMs = ControlThread.nowMs() + CRASH_TIMEOUT_MS;
      String code = "";
      while (code.isEmpty() && ControlThread.nowMs() < endMs) {
        Thread.sleep(20);
        code = refusalCodeOnControlThread(service, request);
      }
      assertThat(code).isEqualTo(SuspectCodes.NOT_ALONE);
    } finally {
      silent.close();
      http.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private String refusalCodeOnControlThread(SuspectService service, EngineRequest request)
      throws Exception {
    return CompletableFuture.supplyAsync(() -> refusalCode(service, request), control::execute)
        .get(CRASH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static final class IgnoringSink implements AnswerSink {
    @Override
    public void writeHead(int status, Map<String, String> headers) {}

    @Override
    public void writePart(byte[] part) {}

    @Override
    public void end() {}

    @Override
    public void fail(Outcome outcome) {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void setWritableListener(Runnable listener) {}
  }
}
