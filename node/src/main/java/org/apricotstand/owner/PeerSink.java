package org.apricotstand.owner;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.peer.PeerMessage;

/** Sends an answer to the entry instance over the peer link, within the credit that it gives. */
final class PeerSink implements AnswerSink {

  private final PeerMessage.Route route;
  private final Consumer<PeerMessage> link;
  private final Supplier<PeerMessage.TargetLoad> load;
  private final AtomicInteger creditBytes;
  private volatile Runnable readyListener = () -> {};

  PeerSink(
      PeerMessage.Route route, Consumer<PeerMessage> link, Supplier<PeerMessage.TargetLoad> load) {
    this.route = route;
    this.link = link;
    this.load = load;
    this.creditBytes = new AtomicInteger(route.creditBytes());
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    link.accept(new PeerMessage.RouteHead(route.requestId(), route.attempt(), status, headers));
  }

  @Override
  public void part(byte[] part) {
    creditBytes.addAndGet(-part.length);
    link.accept(new PeerMessage.RouteChunk(route.requestId(), route.attempt(), part));
  }

  @Override
  public void end() {
    link.accept(new PeerMessage.RouteEnd(route.requestId(), route.attempt(), load.get()));
  }

  @Override
  public void failed(Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun(Failure failure) -> send(true, failure);
      case Outcome.OutcomeUnknown(Failure failure) -> send(false, failure);
      case Outcome.Answered answered -> throw new IllegalArgumentException("not a failure");
    }
  }

  private void send(boolean notRun, Failure failure) {
    link.accept(
        new PeerMessage.RouteFailed(
            route.requestId(),
            route.attempt(),
            notRun,
            failure.step().name(),
            failure.peer(),
            failure.code(),
            failure.detail(),
            load.get()));
  }

  @Override
  public boolean isReady() {
    return creditBytes.get() > 0;
  }

  @Override
  public void onReady(Runnable listener) {
    readyListener = listener;
  }

  void credit(int bytes) {
    if (creditBytes.addAndGet(bytes) > 0) {
      readyListener.run();
    }
  }
}
