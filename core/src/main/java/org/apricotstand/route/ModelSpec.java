package org.apricotstand.route;

/**
 * A base model of an engine service.
 *
 * @param name name of the model
 * @param weightsMb memory that its weights take
 * @param loadMs time to load the weights from the weight store
 * @param adapterMb memory that each of its adapters takes
 */
public record ModelSpec(String name, double weightsMb, long loadMs, double adapterMb) {}
