package org.apricotstand.residency;

/**
 * Identifies a model, or an adapter of a model.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 */
public record AdapterKey(String model, String adapter) {

  /** Parses {@code MODEL} or {@code MODEL/ADAPTER}. */
  public static AdapterKey parse(String text) {
    int slash = text.indexOf('/');
    return slash < 0
        ? new AdapterKey(text, "")
        : new AdapterKey(text.substring(0, slash), text.substring(slash + 1));
  }

  /** Returns whether the key identifies a model and not an adapter. */
  public boolean isModel() {
    return adapter.isEmpty();
  }

  /** Returns the key of the model, which is the base model if this is an adapter. */
  public AdapterKey modelKey() {
    return new AdapterKey(model, "");
  }

  // Not the generated methods: linking them at their first call costs time at each start.
  @Override
  public boolean equals(Object other) {
    return other == this
        || other instanceof AdapterKey key
            && adapter.equals(key.adapter)
            && model.equals(key.model);
  }

  @Override
  public int hashCode() {
    return 31 * model.hashCode() + adapter.hashCode();
  }

  @Override
  public String toString() {
    return isModel() ? model : model + "/" + adapter;
  }
}
