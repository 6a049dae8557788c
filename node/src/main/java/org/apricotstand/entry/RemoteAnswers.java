package org.apricotstand.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;

/**
 * Matches the answers that owners send over peer links with the requests of this instance, by
 * request and attempt number.
 */
final class RemoteAnswers implements Service, PeerListener {

  /** Answer bytes that an owner may send ahead of what the caller has taken. */
  static final int CREDIT_BYTES = 256 * 1024;

  /** Code of a failure because the link to the owner closed. */
  static final String LINK_CLOSED = "peer_link_closed";

  private final PeerSender peers;
  private final Map<Key, Open> open = new ConcurrentHashMap<>();

  private record Key(String requestId, int attempt) {}

  private record Open(InstanceId owner, AnswerSink sink, CreditWindow window) {}

  RemoteAnswers(PeerSender peers) {
    this.peers = peers;
  }

  /** Sends a request to the owner of its target and passes the answer to the sink. */
  void send(InstanceId owner, PeerMessage.Route route, AnswerSink sink) {
    Key key = new Key(route.requestId(), route.attempt());
    CreditWindow window =
        new CreditWindow(
            sink,
            bytes ->
                peers.send(
                    owner, new PeerMessage.RouteCredit(route.requestId(), route.attempt(), bytes)));
    open.put(key, new Open(owner, sink, window));
    if (!peers.send(owner, route)) {
      open.remove(key);
      sink.failed(
          new Outcome.NotRun(
              new Failure(Step.PEER, owner.value(), "unknown_peer", "no address of the owner")));
    }
  }

  /** Gives a request up. */
  void cancel(PeerMessage.Route route) {
    Open request = open.remove(new Key(route.requestId(), route.attempt()));
    if (request != null) {
      peers.send(request.owner(), new PeerMessage.RouteCancel(route.requestId(), route.attempt()));
    }
  }

  @Override
  public boolean onTraffic(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RouteHead head -> {
        Open request = find(from, head.requestId(), head.attempt());
        if (request != null) {
          request.sink().head(head.status(), head.headers());
        }
      }
      case PeerMessage.RouteChunk chunk -> {
        Open request = find(from, chunk.requestId(), chunk.attempt());
        if (request != null) {
          request.sink().part(chunk.part());
          request.window().consumed(chunk.part().length);
        }
      }
      case PeerMessage.RouteEnd end -> {
        Open request = take(from, end.requestId(), end.attempt());
        if (request != null) {
          request.sink().end();
        }
      }
      case PeerMessage.RouteFailed failed -> {
        Open request = take(from, failed.requestId(), failed.attempt());
        if (request != null) {
          request.sink().failed(outcomeOf(failed));
        }
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {}

  @Override
  public void onLinkClosed(InstanceId peer) {
    List<Map.Entry<Key, Open>> lost =
        open.entrySet().stream().filter(entry -> entry.getValue().owner().equals(peer)).toList();
    Failure failure =
        new Failure(Step.PEER, peer.value(), LINK_CLOSED, "the link to the owner closed");
    lost.stream()
        .filter(entry -> open.remove(entry.getKey(), entry.getValue()))
        .forEach(entry -> entry.getValue().sink().failed(new Outcome.OutcomeUnknown(failure)));
  }

  private Open find(InstanceId from, String requestId, int attempt) {
    Open request = open.get(new Key(requestId, attempt));
    return request != null && request.owner().equals(from) ? request : null;
  }

  private Open take(InstanceId from, String requestId, int attempt) {
    Open request = find(from, requestId, attempt);
    return request != null && open.remove(new Key(requestId, attempt), request) ? request : null;
  }

  private static Outcome outcomeOf(PeerMessage.RouteFailed failed) {
    Failure failure =
        new Failure(Step.valueOf(failed.step()), failed.peer(), failed.code(), failed.detail());
    return failed.notRun() ? new Outcome.NotRun(failure) : new Outcome.OutcomeUnknown(failure);
  }
}
