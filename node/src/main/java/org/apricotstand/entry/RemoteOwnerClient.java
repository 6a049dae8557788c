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
 * Sends model requests over peer links to the instances that own their engines. Matches the answers
 * with the requests by request identifier and attempt number, and drops answers that no request
 * waits for.
 */
final class RemoteOwnerClient implements Service, PeerListener {

  /** Bytes of an answer that an owner may send before the entry instance returns credit. */
  static final int CREDIT_BYTES = 256 * 1024;

  /** Failure code of requests whose outcome is unknown because the link to the owner closed. */
  static final String LINK_CLOSED = "peer_link_closed";

  private final PeerSender peers;
  private final Map<AttemptKey, OpenRequest> openRequests = new ConcurrentHashMap<>();

  private record AttemptKey(String requestId, int attempt) {}

  private record OpenRequest(InstanceId owner, AnswerSink sink, CreditWindow window) {}

  RemoteOwnerClient(PeerSender peers) {
    this.peers = peers;
  }

  /** Sends a request to the owner of its target and forwards the answer to the sink. */
  void send(InstanceId owner, PeerMessage.Route route, AnswerSink sink) {
    AttemptKey key = new AttemptKey(route.requestId(), route.attempt());
    CreditWindow window =
        new CreditWindow(
            sink,
            bytes ->
                peers.send(
                    owner, new PeerMessage.RouteCredit(route.requestId(), route.attempt(), bytes)));
    openRequests.put(key, new OpenRequest(owner, sink, window));
    if (!peers.send(owner, route)) {
      openRequests.remove(key);
      sink.fail(
          new Outcome.NotRun(
              new Failure(
                  Step.PEER,
                  owner.value(),
                  "unknown_peer",
                  "the address of the owner is unknown")));
    }
  }

  /** Cancels a request at its owner and drops the rest of its answer. */
  void cancel(PeerMessage.Route route) {
    OpenRequest request = openRequests.remove(new AttemptKey(route.requestId(), route.attempt()));
    if (request != null) {
      peers.send(request.owner(), new PeerMessage.RouteCancel(route.requestId(), route.attempt()));
    }
  }

  @Override
  public boolean handleOnLinkThread(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RouteHead head -> {
        OpenRequest request = find(from, head.requestId(), head.attempt());
        if (request != null) {
          request.sink().writeHead(head.status(), head.headers());
        }
      }
      case PeerMessage.RouteChunk chunk -> {
        OpenRequest request = find(from, chunk.requestId(), chunk.attempt());
        if (request != null) {
          request.sink().writePart(chunk.part());
          request.window().recordConsumed(chunk.part().length);
        }
      }
      case PeerMessage.RouteEnd end -> {
        OpenRequest request = remove(from, end.requestId(), end.attempt());
        if (request != null) {
          request.sink().end();
        }
      }
      case PeerMessage.RouteFailed failed -> {
        OpenRequest request = remove(from, failed.requestId(), failed.attempt());
        if (request != null) {
          request.sink().fail(outcomeOf(failed));
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
    List<Map.Entry<AttemptKey, OpenRequest>> lost =
        openRequests.entrySet().stream()
            .filter(entry -> entry.getValue().owner().equals(peer))
            .toList();
    Failure failure =
        new Failure(Step.PEER, peer.value(), LINK_CLOSED, "the link to the owner closed");
    lost.stream()
        .filter(entry -> openRequests.remove(entry.getKey(), entry.getValue()))
        .forEach(entry -> entry.getValue().sink().fail(new Outcome.OutcomeUnknown(failure)));
  }

  /** Returns the open request of this identifier and attempt, or null if it has another owner. */
  private OpenRequest find(InstanceId from, String requestId, int attempt) {
    OpenRequest request = openRequests.get(new AttemptKey(requestId, attempt));
    return request != null && request.owner().equals(from) ? request : null;
  }

  /** Like {@link #find}, and removes the request. */
  private OpenRequest remove(InstanceId from, String requestId, int attempt) {
    OpenRequest request = find(from, requestId, attempt);
    return request != null && openRequests.remove(new AttemptKey(requestId, attempt), request)
        ? request
        : null;
  }

  private static Outcome outcomeOf(PeerMessage.RouteFailed failed) {
    Failure failure =
        new Failure(Step.valueOf(failed.step()), failed.peer(), failed.code(), failed.detail());
    return failed.notRun() ? new Outcome.NotRun(failure) : new Outcome.OutcomeUnknown(failure);
  }
}
