package org.apricotstand.owner;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.peer.PeerMessage;

/**
 * Sends an answer to the entry instance over the peer link. The sink is writable while the entry
 * instance has granted credit.
 */
final class PeerSink implements AnswerSink {

  private final PeerMessage.Route route;
  private final Consumer<PeerMessage> messageSender;
  private final Supplier<PeerMessage.TargetLoad> currentLoad;
  private final AtomicInteger creditBytes;
  private volatile Runnable writableListener = () -> {};

  PeerSink(
      PeerMessage.Route route,
      Consumer<PeerMessage> messageSender,
      Supplier<PeerMessage.TargetLoad> currentLoad) {
    this.route = route;
    this.messageSender = messageSender;
    this.currentLoad = currentLoad;
    this.creditBytes = new AtomicInteger(route.creditBytes());
  }

  @Override
  public void writeHead(int status, Map<String, String> headers) {
    messageSender.accept(
        new PeerMessage.RouteHead(route.requestId(), route.attempt(), status, headers));
  }

  @Override
  public void writePart(byte[] part) {
    creditBytes.addAndGet(-part.length);
    messageSender.accept(new PeerMessage.RouteChunk(route.requestId(), route.attempt(), part));
  }

  @Override
  public void end() {
    messageSender.accept(
        new PeerMessage.RouteEnd(route.requestId(), route.attempt(), currentLoad.get()));
  }

  @Override
  public void fail(Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun(Failure failure) -> sendFailure(true, failure);
      case Outcome.OutcomeUnknown(Failure failure) -> sendFailure(false, failure);
      case Outcome.Answered answered -> throw new IllegalArgumentException("not a failure");
    }
  }

  private void sendFailure(boolean notRun, Failure failure) {
    messageSender.accept(
        new PeerMessage.RouteFailed(
            route.requestId(),
            route.attempt(),
            notRun,
            failure.step().name(),
            failure.peer(),
            failure.code(),
            failure.detail(),
            currentLoad.get()));
  }

  @Override
  public boolean isWritable() {
    return creditBytes.get() > 0;
  }

  @Override
  public void setWritableListener(Runnable listener) {
    writableListener = listener;
  }

  /** Adds credit that the entry instance granted. */
  void addCredit(int bytes) {
    if (creditBytes.addAndGet(bytes) > 0) {
      writableListener.run();
    }
  }
}
