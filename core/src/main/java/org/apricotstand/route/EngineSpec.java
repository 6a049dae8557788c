package org.apricotstand.route;

import java.util.List;
import java.util.Optional;

/**
 * Capacity of the engines of a service and the base models that they can load.
 *
 * @param maxBatch maximum number of requests that run concurrently
 * @param memoryMb memory for base models and adapters
 * @param maxAdapters maximum number of loaded adapters
 * @param models base models that the service offers
 */
public record EngineSpec(int maxBatch, double memoryMb, int maxAdapters, List<ModelSpec> models) {

  /** Makes an immutable copy of the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the model with the given name, if the service offers it. */
  public Optional<ModelSpec> model(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }
}
