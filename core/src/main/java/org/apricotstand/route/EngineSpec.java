package org.apricotstand.route;

import java.util.List;
import java.util.Optional;

/**
 * What the engines of a service can hold.
 *
 * @param batchSlots requests that run at once
 * @param memoryMb memory for weights and adapters
 * @param adapterPlaces places for adapters
 * @param models models that the service offers
 */
public record EngineSpec(
    int batchSlots, double memoryMb, int adapterPlaces, List<ModelSpec> models) {

  /** Copies the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the model of a name. */
  public Optional<ModelSpec> model(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }
}
