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

/** Receives model requests from other instances and hands them to the {@link OwnerService}. */
public final class PeerRequests implements Service, PeerListener {

  private final ControlThread control;
  private final PeerNetwork peers;
  private final OwnerService owner;
  private final Map<Key, Open> open = new ConcurrentHashMap<>();

  private record Key(String requestId, int attempt) {}

  private record Open(InstanceId from, TargetId target, PeerSink sink) {}

  /** Creates the service. */
  public PeerRequests(ControlThread control, PeerNetwork peers, OwnerService owner) {
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
      Open request = open.get(new Key(credit.requestId(), credit.attempt()));
      if (request != null) {
        request.sink().credit(credit.bytes());
      }
      return true;
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Route route -> accept(from, route);
      case PeerMessage.RouteCancel cancel -> cancel(new Key(cancel.requestId(), cancel.attempt()));
      default -> {}
    }
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    List<Key> orphaned =
        open.entrySet().stream()
            .filter(entry -> entry.getValue().from().equals(peer))
            .map(Map.Entry::getKey)
            .toList();
    orphaned.forEach(this::cancel);
  }

  private void accept(InstanceId from, PeerMessage.Route route) {
    Key key = new Key(route.requestId(), route.attempt());
    TargetId target = new TargetId(route.target());
    PeerSink sink =
        new PeerSink(route, message -> peers.send(from, message), () -> owner.loadOf(target));
    open.put(key, new Open(from, target, sink));
    owner.submit(target, toEngineRequest(route), new Closing(sink, key));
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

  private void cancel(Key key) {
    Open request = open.remove(key);
    if (request != null) {
      owner.cancel(request.target(), new RequestId(key.requestId()));
    }
  }

  /** Forgets the request when its answer ends. */
  private final class Closing extends ForwardingSink {
    private final Key key;

    Closing(PeerSink sink, Key key) {
      super(sink);
      this.key = key;
    }

    @Override
    public void end() {
      open.remove(key);
      control.execute(super::end);
    }

    @Override
    public void failed(Outcome outcome) {
      open.remove(key);
      control.execute(() -> super.failed(outcome));
    }
  }
}
