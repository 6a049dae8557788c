package org.apricotstand.owner;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.TargetId;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.schedule.ScheduledRequest;

/**
 * Receives model requests from other instances and submits them to the {@link OwnerService}.
 * Cancels the requests of an instance when its link closes.
 */
public final class PeerRequestReceiver implements Service, PeerListener {

  private final ControlThread control;
  private final PeerNetwork peers;
  private final OwnerService owner;
  private final Map<AttemptKey, OpenRequest> openRequests = new ConcurrentHashMap<>();

  private record AttemptKey(String requestId, int attempt) {}

  private record OpenRequest(InstanceId entryInstance, TargetId target, PeerSink sink) {}

  /** Creates the service. */
  public PeerRequestReceiver(ControlThread control, PeerNetwork peers, OwnerService owner) {
    this.control = control;
    this.peers = peers;
    this.owner = owner;
  }

  @Override
  public void start() {
    peers.addListener(this);
  }

  @Override
  public boolean handleOnLinkThread(InstanceId from, PeerMessage message) {
    if (message instanceof PeerMessage.RouteCredit credit) {
      OpenRequest request = openRequests.get(new AttemptKey(credit.requestId(), credit.attempt()));
      if (request != null) {
        request.sink().addCredit(credit.bytes());
      }
      return true;
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Route route -> submit(from, route);
      case PeerMessage.RouteCancel cancel ->
          cancel(new AttemptKey(cancel.requestId(), cancel.attempt()));
      default -> {}
    }
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    List<AttemptKey> openAttempts =
        openRequests.entrySet().stream()
            .filter(entry -> entry.getValue().entryInstance().equals(peer))
            .map(Map.Entry::getKey)
            .toList();
    openAttempts.forEach(this::cancel);
  }

  private void submit(InstanceId from, PeerMessage.Route route) {
    AttemptKey key = new AttemptKey(route.requestId(), route.attempt());
    TargetId target = new TargetId(route.target());
    PeerSink sink =
        new PeerSink(route, message -> peers.send(from, message), () -> owner.loadOf(target));
    openRequests.put(key, new OpenRequest(from, target, sink));
    owner.submit(target, toEngineRequest(route), new UnregisteringSink(sink, key));
  }

  private EngineRequest toEngineRequest(PeerMessage.Route route) {
    long nowMs = ControlThread.nowMs();
    ScheduledRequest scheduled =
        new ScheduledRequest(
            new RequestId(route.requestId()),
            route.attempt(),
            AdapterVersion.parse(route.adapterVersion()),
            RequestClass.valueOf(route.requestClass()),
            route.caller(),
            nowMs,
            nowMs + route.remainingMs(),
            route.alone());
    return new EngineRequest(scheduled, route.path(), route.traceparent(), route.body());
  }

  private void cancel(AttemptKey key) {
    OpenRequest request = openRequests.remove(key);
    if (request != null) {
      owner.cancel(request.target(), new RequestId(key.requestId()));
    }
  }

  /**
   * Removes the request from the open requests when its answer ends, and forwards the end on the
   * control thread.
   */
  private final class UnregisteringSink extends ForwardingSink {
    private final AttemptKey key;

    UnregisteringSink(PeerSink sink, AttemptKey key) {
      super(sink);
      this.key = key;
    }

    @Override
    public void end() {
      openRequests.remove(key);
      control.execute(super::end);
    }

    @Override
    public void fail(Outcome outcome) {
      openRequests.remove(key);
      control.execute(() -> super.fail(outcome));
    }
  }
}
