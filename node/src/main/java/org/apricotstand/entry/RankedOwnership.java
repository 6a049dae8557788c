package org.apricotstand.entry;

import java.util.List;
import java.util.Optional;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.owner.Ownership;
import org.apricotstand.placement.Rendezvous;
import org.apricotstand.settings.InstanceSettings.Peer;

/** Ownership by rank alone: the highest-ranked known instance of the target's domain. */
final class RankedOwnership implements Service, Ownership {

  private final InstanceId self;
  private final ConfigurationService configuration;
  private final List<Peer> instances;

  RankedOwnership(InstanceId self, ConfigurationService configuration, List<Peer> instances) {
    this.self = self;
    this.configuration = configuration;
    this.instances = instances;
  }

  @Override
  public Optional<InstanceId> ownerOf(TargetId target) {
    return configuration
        .current()
        .target(target)
        .flatMap(
            declared ->
                Rendezvous.rank(
                        target.value(),
                        instances.stream()
                            .filter(peer -> peer.domain().equals(declared.domain()))
                            .toList(),
                        Peer::instance)
                    .stream()
                    .findFirst())
        .map(peer -> new InstanceId(peer.instance()));
  }

  @Override
  public long fencingOf(TargetId target) {
    return 1;
  }

  @Override
  public boolean mayDispatch(TargetId target) {
    return ownerOf(target).filter(self::equals).isPresent();
  }

  @Override
  public boolean mayCommand(TargetId target) {
    return mayDispatch(target);
  }
}
