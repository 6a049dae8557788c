package org.apricotstand.serve;

import io.netty.channel.EventLoop;
import java.util.Map;
import org.apricotstand.fleet.FleetEventListener;
import org.apricotstand.suspect.Trait;

/** Passes on what other instances have seen of targets to a listener on the traffic thread. */
record TrafficThreadListener(EventLoop loop, FleetEventListener listener)
    implements FleetEventListener {

  @Override
  public void onCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {
    loop.execute(() -> listener.onCrash(incarnation, requestsByTrait));
  }

  @Override
  public void onAnswer(Trait trait) {
    loop.execute(() -> listener.onAnswer(trait));
  }

  @Override
  public void onRefusal(Trait trait, long untilMs) {
    loop.execute(() -> listener.onRefusal(trait, untilMs));
  }

  @Override
  public void onLimit(String incarnation, double perSecond) {
    loop.execute(() -> listener.onLimit(incarnation, perSecond));
  }

  @Override
  public void onLimitEnd(String incarnation) {
    loop.execute(() -> listener.onLimitEnd(incarnation));
  }

  @Override
  public void onQuotaLent(long number, boolean isLent) {
    loop.execute(() -> listener.onQuotaLent(number, isLent));
  }
}
